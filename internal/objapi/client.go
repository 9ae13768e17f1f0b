package objapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"corianderspool.example/spool/pkg/spool"
	"github.com/rotisserie/eris"
)

const (
	defaultTimeout      = 2 * time.Second
	defaultWatchWait    = 20 * time.Second
	maxIdleConnsPerHost = 8
	maxErrorBytes       = 512
)

// Client calls the object API; it implements spool.Platform.
type Client struct {
	base       string
	token      string
	timeout    time.Duration
	watchWait  time.Duration
	httpClient *http.Client
}

var _ spool.Platform = (*Client)(nil)

// Option configures a Client.
type Option func(client *Client)

// WithToken sets the bearer token of each call.
func WithToken(token string) Option {
	return func(client *Client) { client.token = token }
}

// WithTimeout sets the timeout of a call, to which a watch adds its wait.
func WithTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.timeout = timeout }
}

// WithWatchWait sets how long a watch waits for a change.
func WithWatchWait(wait time.Duration) Option {
	return func(client *Client) { client.watchWait = wait }
}

// New returns a client for the object API at a base URL such as "http://10.0.0.1:8000".
func New(base string, options ...Option) *Client {
	client := &Client{
		base:       strings.TrimSuffix(base, "/"),
		timeout:    defaultTimeout,
		watchWait:  defaultWatchWait,
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}},
	}
	for _, option := range options {
		option(client)
	}
	return client
}

// Close closes the client's idle connections.
func (client *Client) Close() {
	client.httpClient.CloseIdleConnections()
}

// CallError is a failed call; unless Refused returns true, a change may have taken effect.
type CallError struct {
	Method string
	Path   string
	Status int // zero without a response
	Cause  error
}

// Error returns the method, the path and the cause.
func (callError *CallError) Error() string {
	return fmt.Sprintf("%s %s: %v", callError.Method, callError.Path, callError.Cause)
}

// Unwrap returns the cause.
func (callError *CallError) Unwrap() error { return callError.Cause }

// Refused reports whether the API rejected the change as malformed or not allowed, so that it had no effect.
func (callError *CallError) Refused() bool {
	return callError.Status >= http.StatusBadRequest && callError.Status < http.StatusInternalServerError
}

type objectList struct {
	Objects []spool.Object
	Version spool.Version
}

// updateBody is the body of a conditional update.
type updateBody struct {
	Version spool.Version
	Body    json.RawMessage
}

// Get returns an object; errors are spool.ErrNotFound and *CallError.
func (client *Client) Get(ctx context.Context, kind, name string) (spool.Object, error) {
	return call[spool.Object](ctx, client, client.timeout, http.MethodGet, objectPath(kind, name), nil)
}

// List returns the objects of a kind and the version of the list, or a *CallError.
func (client *Client) List(ctx context.Context, kind string) ([]spool.Object, spool.Version, error) {
	path := "/v1/objects/" + url.PathEscape(kind)
	result, err := call[objectList](ctx, client, client.timeout, http.MethodGet, path, nil)
	return result.Objects, result.Version, err
}

// Put writes the object if its stored version is object.Version, else it returns spool.ErrConflict, spool.ErrNotFound
// or a *CallError.
func (client *Client) Put(ctx context.Context, object spool.Object) (spool.Object, error) {
	body, err := json.Marshal(updateBody{Version: object.Version, Body: object.Body})
	if err != nil {
		return spool.Object{}, eris.Wrapf(err, "encode object %s/%s", object.Kind, object.Name)
	}
	path := objectPath(object.Kind, object.Name)
	return call[spool.Object](ctx, client, client.timeout, http.MethodPut, path, body)
}

// Watch waits for changes of the kinds after a version; when the wait ends it returns none and the same version.
func (client *Client) Watch(
	ctx context.Context, kinds []string, after spool.Version,
) ([]spool.Object, spool.Version, error) {
	query := url.Values{
		"kinds": {strings.Join(kinds, ",")},
		"after": {fmt.Sprint(uint64(after))},
		"wait":  {client.watchWait.String()},
	}
	path := "/v1/watch?" + query.Encode()
	result, err := call[objectList](ctx, client, client.watchWait+client.timeout, http.MethodGet, path, nil)
	return result.Objects, result.Version, err
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call sends one request and decodes the response.
func call[T any](
	ctx context.Context, client *Client, timeout time.Duration, method, path string, body []byte,
) (T, error) {
	var result T
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(body))
	if err != nil {
		return result, eris.Wrapf(err, "build request %s %s", method, path)
	}
	if client.token != "" {
		request.Header.Set("Authorization", "Bearer "+client.token)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return result, &CallError{Method: method, Path: path, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkStatus(method, path, response); err != nil {
		return result, err
	}
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return result, &CallError{Method: method, Path: path, Cause: err}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return result, nil
}

func checkStatus(method, path string, response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return spool.ErrConflict
	case http.StatusNotFound:
		return spool.ErrNotFound
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	cause := eris.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	return &CallError{Method: method, Path: path, Status: response.StatusCode, Cause: cause}
}
