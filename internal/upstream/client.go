package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
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
func (c *Client) Start(ctx context.Context, name string, task Task) error {
	_, err := c.call(ctx, http.MethodPut, name, task)
	return err
}

// Wait returns the report of a task when it has ended, or after PollWait.
func (c *Client) Wait(ctx context.Context, name string) (Report, error) {
	return c.call(ctx, http.MethodGet, name, nil)
}

// Stop stops a task, after a checkpoint if it can make one.
func (c *Client) Stop(ctx context.Context, name string) (Report, error) {
	return c.call(ctx, http.MethodDelete, name, nil)
}

func (c *Client) call(ctx context.Context, method, name string, body any) (Report, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Report{}, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+"/v1/tasks/"+name, bytes.NewReader(data))
	if err != nil {
		return Report{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Report{}, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 2*MaxAnswer))
	if err != nil {
		return Report{}, err
	}
	if response.StatusCode != http.StatusOK {
		return Report{}, &StatusError{Status: response.StatusCode, Body: string(bytes.TrimSpace(answer))}
	}
	var report Report
	err = json.Unmarshal(answer, &report)
	return report, err
}
