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

// Client speaks to the platform over HTTP.
type Client struct {
	base string
	http *http.Client
}

var (
	_ table.Table   = (*Client)(nil)
	_ table.Objects = (*Client)(nil)
)

// NewClient returns a client of the platform at the base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, txn table.Txn) (table.Version, error) {
	var body commitBody
	if err := c.call(ctx, http.MethodPost, "/v1/commit", txn, &body); err != nil {
		return 0, err
	}
	if body.Fail != nil {
		return 0, body.Fail
	}
	return body.Version, nil
}

// Read returns the rows that exist among the keys.
func (c *Client) Read(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	var rows []table.Row
	err := c.call(ctx, http.MethodPost, "/v1/read", keys, &rows)
	return rows, err
}

// Scan returns up to limit rows with the prefix and after the key after.
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

// Put writes an object.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.exchange(ctx, http.MethodPut, "/v1/objects/"+name, data)
	return err
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := c.exchange(ctx, http.MethodGet, "/v1/objects/"+name, nil)
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		missing.Name = name
	}
	return data, err
}

func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	var data []byte
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return &table.RejectedError{Reason: err.Error()}
		}
		data = encoded
	}
	answer, err := c.exchange(ctx, method, path, data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, response); err != nil {
		return &table.UncertainError{Reason: err.Error()}
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, &table.RejectedError{Reason: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transportError(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, &table.UncertainError{Reason: err.Error()}
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusConflict:
		return answer, nil
	case http.StatusNotFound:
		return nil, &table.NotFoundError{}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return nil, &table.RejectedError{Reason: string(bytes.TrimSpace(answer))}
	default:
		return nil, &table.UncertainError{Reason: fmt.Sprintf("status %d", response.StatusCode)}
	}
}

// transportError tells a request that never left from one whose answer is
// missing.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &table.RejectedError{Reason: err.Error()}
	}
	return &table.UncertainError{Reason: err.Error()}
}
