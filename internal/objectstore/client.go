package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// MaxValueSize is the platform's limit for one value, in bytes.
const MaxValueSize = 1 << 20

// callTimeout is the timeout of a call. For a watch, its wait time is added.
const callTimeout = 3 * time.Second

// HTTPClient is a client of the HTTP version of the object API and the machine list: GET and PUT on
// /store/KEY with ETag and If-Match, GET with ?after=VERSION&wait=SECONDS for a watch, and GET on
// /machines.
type HTTPClient struct {
	base   string
	client *http.Client
}

// NewHTTPClient returns a client for the base URL. If transport is nil, the default transport is
// used.
func NewHTTPClient(base string, transport http.RoundTripper) *HTTPClient {
	return &HTTPClient{base: base, client: &http.Client{Transport: transport}}
}

// MachineEntry is the JSON form of a machine.
type MachineEntry struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// Get implements Objects.
func (c *HTTPClient) Get(ctx context.Context, key string) (Object, error) {
	return c.read(ctx, "/store/"+key, callTimeout)
}

// Watch implements Objects.
func (c *HTTPClient) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error) {
	query := "?after=" + strconv.FormatUint(after, 10) + "&wait=" + strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
	return c.read(ctx, "/store/"+key+query, wait+callTimeout)
}

func (c *HTTPClient) read(ctx context.Context, path string, timeout time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, body, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return Object{}, err
	}
	switch response.StatusCode {
	case http.StatusNotFound:
		return Object{}, nil
	case http.StatusOK:
	default:
		return Object{}, unavailable(response)
	}
	version, err := strconv.ParseUint(response.Header.Get("ETag"), 10, 64)
	if err != nil {
		return Object{}, failure.Wrap(failure.PlatformUnavailable, err, "the platform's answer has no version")
	}
	return Object{Value: body, Version: version}, nil
}

// Put implements Objects.
func (c *HTTPClient) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{"If-Match": {strconv.FormatUint(expected, 10)}}
	response, _, err := c.call(ctx, http.MethodPut, "/store/"+key, header, value)
	if err != nil {
		return 0, err
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusPreconditionFailed:
		return 0, failure.New(failure.Conflict, "the object has changed since it was read")
	case http.StatusRequestEntityTooLarge:
		return 0, failure.New(failure.TooLarge, "the value is over the platform's limit")
	default:
		return 0, unavailable(response)
	}
	version, err := strconv.ParseUint(response.Header.Get("ETag"), 10, 64)
	if err != nil {
		return 0, failure.Wrap(failure.PlatformUnavailable, err, "the platform's answer has no version")
	}
	return version, nil
}

// Machines implements MachineList.
func (c *HTTPClient) Machines(ctx context.Context) ([]coordination.Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, body, err := c.call(ctx, http.MethodGet, "/machines", nil, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, unavailable(response)
	}
	var entries []MachineEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, failure.Wrap(failure.PlatformUnavailable, err, "the machine list is not JSON")
	}
	machines := make([]coordination.Machine, len(entries))
	for i, entry := range entries {
		machines[i] = coordination.Machine{
			ID: entry.ID, Role: roleOf(entry.Role), Address: entry.Address, Zone: entry.Zone, Leaving: entry.Leaving,
		}
	}
	return machines, nil
}

func roleOf(name string) membership.Role {
	if name == "router" {
		return membership.RoleRouter
	}
	return membership.RoleAgent
}

func (c *HTTPClient) call(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, failure.Wrap(failure.Internal, err, "create a platform request")
	}
	// Without GetBody the transport can't replay the body of a write. The answer to a replayed
	// write would be a conflict with the first attempt, which would look like a concurrent write
	// by another client.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, nil, failure.Wrap(failure.PlatformUnavailable, err, "the platform did not answer")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxValueSize+1))
	if err != nil {
		return nil, nil, failure.Wrap(failure.PlatformUnavailable, err, "the platform's answer was cut off")
	}
	return response, content, nil
}

func unavailable(response *http.Response) error {
	return failure.New(failure.PlatformUnavailable, "the platform answered "+response.Status)
}
