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

// Client speaks to one runner.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the runner at the base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Start starts a task, or finds it started.
func (c *Client) Start(ctx context.Context, name string, task Task) (Report, error) {
	var report Report
	err := c.call(ctx, http.MethodPut, "/v1/tasks/"+name, task, &report)
	return report, err
}

// Wait returns the report of a task when it has ended, or after the wait.
func (c *Client) Wait(ctx context.Context, name string, wait time.Duration) (Report, error) {
	var report Report
	query := url.Values{"wait": {seconds(wait)}}
	err := c.call(ctx, http.MethodGet, "/v1/tasks/"+name+"?"+query.Encode(), nil, &report)
	return report, err
}

// List returns the tasks that the runner has.
func (c *Client) List(ctx context.Context) ([]Task, error) {
	var tasks []Task
	err := c.call(ctx, http.MethodGet, "/v1/tasks", nil, &tasks)
	return tasks, err
}

// Stop stops a task when the grace is over, or after a checkpoint if that comes
// first. It returns when the task has stopped.
func (c *Client) Stop(ctx context.Context, name string, checkpoint bool, grace time.Duration) (Report, error) {
	var report Report
	query := url.Values{"grace": {seconds(grace)}}
	if checkpoint {
		query.Set("checkpoint", "true")
	}
	err := c.call(ctx, http.MethodDelete, "/v1/tasks/"+name+"?"+query.Encode(), nil, &report)
	return report, err
}

// Throttle slows a task down or lets it run at full speed.
func (c *Client) Throttle(ctx context.Context, name string, slow bool) error {
	return c.call(ctx, http.MethodPut, "/v1/tasks/"+name+"/throttle", Throttle{Slow: slow}, nil)
}

// Usage returns what the worker draws.
func (c *Client) Usage(ctx context.Context) (Usage, error) {
	var usage Usage
	err := c.call(ctx, http.MethodGet, "/v1/usage", nil, &usage)
	return usage, err
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		data = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(io.LimitReader(response.Body, 2*MaxAnswer))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode, Body: string(bytes.TrimSpace(read))}
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(read, answer)
}

func seconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', -1, 64)
}
