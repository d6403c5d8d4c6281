package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Client is an HTTP client of one runner. Its methods return a StatusError if the
// runner answers with a status other than 200.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client of the runner at the base URL, which has no slash at its
// end.
func NewClient(baseURL string, client *http.Client) *Client {
	return &Client{baseURL: baseURL, httpClient: client}
}

// Start starts a task and returns its report. It is idempotent: a task that was
// started under this name before is not started again.
func (c *Client) Start(ctx context.Context, name string, task Task) (Report, error) {
	var report Report
	err := c.call(ctx, http.MethodPut, "/v1/tasks/"+name, task, &report)
	return report, err
}

// Wait renews the task's lease and returns its report as soon as it has ended, or
// after the wait.
func (c *Client) Wait(ctx context.Context, name string, wait time.Duration) (Report, error) {
	var report Report
	query := url.Values{"wait": {seconds(wait)}}
	err := c.call(ctx, http.MethodGet, "/v1/tasks/"+name+"?"+query.Encode(), nil, &report)
	return report, err
}

// List returns the tasks that the runner holds, running or ended.
func (c *Client) List(ctx context.Context) ([]Task, error) {
	var tasks []Task
	err := c.call(ctx, http.MethodGet, "/v1/tasks", nil, &tasks)
	return tasks, err
}

// Stop stops a task at the end of the grace, or after a checkpoint if one is asked
// for and is done earlier. It returns when the task has stopped.
func (c *Client) Stop(ctx context.Context, name string, checkpoint bool, grace time.Duration) (Report, error) {
	var report Report
	query := url.Values{"grace": {seconds(grace)}}
	if checkpoint {
		query.Set("checkpoint", "true")
	}
	err := c.call(ctx, http.MethodDelete, "/v1/tasks/"+name+"?"+query.Encode(), nil, &report)
	return report, err
}

// Throttle slows a task down, or lets it run at full speed again.
func (c *Client) Throttle(ctx context.Context, name string, slow bool) error {
	return c.call(ctx, http.MethodPut, "/v1/tasks/"+name+"/throttle", Throttle{Slow: slow}, nil)
}

// Usage returns the power draw of the worker, and whether it is draining.
func (c *Client) Usage(ctx context.Context) (Usage, error) {
	var usage Usage
	err := c.call(ctx, http.MethodGet, "/v1/usage", nil, &usage)
	return usage, err
}

// call sends a request with a JSON body, unless it is nil, and decodes the response
// into answer, unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		data = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	// In JSON an answer is encoded in base64, which makes it longer.
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, 2*MaxAnswer))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode, Body: string(bytes.TrimSpace(responseBody))}
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(responseBody, answer)
}

// seconds formats a duration as a decimal number of seconds.
func seconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', -1, 64)
}
