package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"

	"yokemast/internal/control/cells"
)

// Client calls a gateway's control socket.
type Client struct {
	http *http.Client
	path string
}

// NewClient returns a client of the socket at path.
func NewClient(path string) *Client {
	var d net.Dialer
	return &Client{path: path, http: &http.Client{Timeout: 2 * requestTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return d.DialContext(ctx, "unix", path) }}}}
}

// Cells returns the state of the cells.
func (c *Client) Cells(ctx context.Context) (out cells.Report, err error) {
	return out, c.call(ctx, http.MethodGet, "cells", nil, &out)
}

// Pools returns the state of the pools.
func (c *Client) Pools(ctx context.Context) (out PoolsReport, err error) {
	return out, c.call(ctx, http.MethodGet, "pools", nil, &out)
}

// Plan returns what the request would change.
func (c *Client) Plan(ctx context.Context, q PlanRequest) (out cells.Forecast, err error) {
	return out, c.call(ctx, http.MethodPost, "cells/plan", q, &out)
}

// Order moves a tenant, or aborts or confirms its move. The verb is move, abort or confirm.
func (c *Client) Order(ctx context.Context, verb string, q MoveRequest) (out cells.Report, err error) {
	return out, c.call(ctx, http.MethodPost, "cells/"+verb, q, &out)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://gateway/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	var refused *net.OpError
	switch {
	case errors.As(err, &refused):
		return fmt.Errorf("no gateway answers at %s: %w", c.path, refused.Err)
	case err != nil:
		return err
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	if resp.StatusCode != http.StatusOK {
		var f errorBody
		if err := dec.Decode(&f); err != nil || f.Error == "" {
			return fmt.Errorf("gateway answered %s", resp.Status)
		}
		return errors.New(f.Error)
	}
	if err := dec.Decode(out); err != nil {
		return fmt.Errorf("invalid answer of the gateway: %w", err)
	}
	return nil
}
