package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/lovageroad/lovageroad/pkg/table"
)

// Client is an HTTP client of the platform's table service and object store, as
// Server serves them.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

var (
	_ table.Table   = (*Client)(nil)
	_ table.Objects = (*Client)(nil)
)

// NewClient returns a client of the platform at the base URL, which has no slash at
// its end.
func NewClient(baseURL string, client *http.Client) *Client {
	return &Client{baseURL: baseURL, httpClient: client}
}

// Commit applies a transaction. It returns a table.ConflictError if a check does not
// hold.
func (c *Client) Commit(ctx context.Context, txn table.Txn) (table.Version, error) {
	var body commitBody
	if err := c.call(ctx, http.MethodPost, "/v1/commit", txn, &body); err != nil {
		return 0, err
	}
	if body.Conflict != nil {
		return 0, body.Conflict
	}
	return body.Version, nil
}

// Read returns those rows of the given keys that exist.
func (c *Client) Read(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	var rows []table.Row
	err := c.call(ctx, http.MethodPost, "/v1/read", keys, &rows)
	return rows, err
}

// Scan returns up to limit rows that have the prefix and follow the key after, in
// the order of their keys.
func (c *Client) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	query := url.Values{
		"prefix": {string(prefix)},
		"after":  {string(after)},
		"limit":  {strconv.Itoa(limit)},
	}
	var rows []table.Row
	err := c.call(ctx, http.MethodGet, "/v1/rows?"+query.Encode(), nil, &rows)
	return rows, err
}

// Put stores an object under a name.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.exchange(ctx, http.MethodPut, "/v1/objects/"+name, data)
	return err
}

// Get returns an object, or a table.NotFoundError.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := c.exchange(ctx, http.MethodGet, "/v1/objects/"+name, nil)
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		missing.Name = name
	}
	return data, err
}

// call sends a request, with a JSON body unless request is nil, and decodes the JSON
// response.
func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	var data []byte
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return &table.RejectedError{Reason: err.Error()}
		}
		data = encoded
	}
	responseBody, err := c.exchange(ctx, method, path, data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(responseBody, response); err != nil {
		return &table.UncertainError{Reason: err.Error()}
	}
	return nil
}

// exchange sends a request and returns the response's body if the status is 200, 204 or
// 409. It maps other statuses and failures to the errors of package table.
func (c *Client) exchange(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return nil, &table.RejectedError{Reason: err.Error()}
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, transportError(err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, &table.UncertainError{Reason: err.Error()}
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusConflict:
		return responseBody, nil
	case http.StatusNotFound:
		return nil, &table.NotFoundError{}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return nil, &table.RejectedError{Reason: string(bytes.TrimSpace(responseBody))}
	default:
		return nil, &table.UncertainError{Reason: fmt.Sprintf("status %d", response.StatusCode)}
	}
}

// transportError returns a table.RejectedError if no connection was made, so that the
// request was never sent, and a table.UncertainError otherwise.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &table.RejectedError{Reason: err.Error()}
	}
	return &table.UncertainError{Reason: err.Error()}
}
