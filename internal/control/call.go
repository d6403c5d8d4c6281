package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	reportPath = "/lovageroad.v1.Control/Report"
	askPath    = "/lovageroad.v1.Control/Ask"
	storePath  = "/lovageroad.v1.Control/Store"
	leadPath   = "/lovageroad.v1.Control/Lead"

	// MaxMessage is the largest message in bytes: a page of the table.
	MaxMessage = 8 << 20

	// dialTimeout bounds the time in which a connection is made: many times the
	// round trip between data centres.
	dialTimeout = 500 * time.Millisecond

	// idleTimeout closes a connection that was not used for this time.
	idleTimeout = 30 * time.Second
)

type (
	// Question asks the leader about a job, or about a queue if there is none.
	Question struct {
		Job   work.JobID   `cbor:"1,keyasint,omitempty"`
		Queue work.QueueID `cbor:"2,keyasint,omitempty"`
	}

	// Reply answers a Question.
	Reply struct {
		// Leads says that a leader answered.
		Leads bool `cbor:"1,keyasint,omitempty"`

		// Known says that the leader knows the job.
		Known   bool   `cbor:"2,keyasint,omitempty"`
		State   string `cbor:"3,keyasint,omitempty"`
		Waiting int    `cbor:"4,keyasint,omitempty"`
	}

	// Claim says that a gate has begun to lead.
	Claim struct {
		Leader machine.Node `cbor:"1,keyasint"`
		Epoch  lease.Epoch  `cbor:"2,keyasint"`
	}

	// Noted answers a Claim.
	Noted struct{}

	// StoreCall asks a gate to carry out one call of the table service for a
	// process that can't reach it.
	StoreCall struct {
		Commit  *table.Txn    `cbor:"1,keyasint,omitempty"`
		Read    []table.Key   `cbor:"2,keyasint,omitempty"`
		Scan    bool          `cbor:"3,keyasint,omitempty"`
		Changes bool          `cbor:"4,keyasint,omitempty"`
		Prefix  table.Key     `cbor:"5,keyasint,omitempty"`
		From    table.Key     `cbor:"6,keyasint,omitempty"`
		Limit   int           `cbor:"7,keyasint,omitempty"`
		After   table.Version `cbor:"8,keyasint,omitempty"`
		Wait    time.Duration `cbor:"9,keyasint,omitempty"`
		Newest  bool          `cbor:"10,keyasint,omitempty"`
	}

	// StoreReply answers a StoreCall. At most one of the errors is set.
	StoreReply struct {
		Rows      []table.Row           `cbor:"1,keyasint,omitempty"`
		Changes   []table.Change        `cbor:"2,keyasint,omitempty"`
		Version   table.Version         `cbor:"3,keyasint,omitempty"`
		Conflict  *table.ConflictError  `cbor:"4,keyasint,omitempty"`
		Rejected  *table.RejectedError  `cbor:"5,keyasint,omitempty"`
		Uncertain *table.UncertainError `cbor:"6,keyasint,omitempty"`
		History   *table.HistoryError   `cbor:"7,keyasint,omitempty"`
	}

	// Server answers the calls of other processes.
	Server interface {
		Report(ctx context.Context, report Report) Word
		Ask(ctx context.Context, question Question) Reply
		Store(ctx context.Context, call StoreCall) StoreReply
		Lead(ctx context.Context, claim Claim) Noted
	}

	// Client calls gates.
	Client struct {
		http    *http.Client
		mu      sync.Mutex
		reports map[machine.Node]*connect.Client[Report, Word]
		asks    map[machine.Node]*connect.Client[Question, Reply]
		stores  map[machine.Node]*connect.Client[StoreCall, StoreReply]
		claims  map[machine.Node]*connect.Client[Claim, Noted]
	}

	codec struct {
		decode cbor.DecMode
	}
)

// Name returns the name under which connect announces the codec.
func (codec) Name() string { return "cbor" }

// Marshal returns the bytes of a message.
func (codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal stores bytes in a message.
func (c codec) Unmarshal(data []byte, message any) error {
	return c.decode.Unmarshal(data, message)
}

func newCodec() codec {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("options of the decoder: %v", err))
	}
	return codec{decode: mode}
}

// NewHandler returns the handler that serves the calls of other processes.
func NewHandler(s Server) http.Handler {
	mux := http.NewServeMux()
	handle(mux, reportPath, s.Report)
	handle(mux, askPath, s.Ask)
	handle(mux, storePath, s.Store)
	handle(mux, leadPath, s.Lead)
	return mux
}

func handle[Q, A any](mux *http.ServeMux, path string, serve func(context.Context, Q) A) {
	unary := func(ctx context.Context, request *connect.Request[Q]) (*connect.Response[A], error) {
		answer := serve(ctx, *request.Msg)
		return connect.NewResponse(&answer), nil
	}
	mux.Handle(path, connect.NewUnaryHandler(path, unary,
		connect.WithCodec(newCodec()), connect.WithReadMaxBytes(MaxMessage)))
}

// NewClient returns a client for the calls of other processes.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     idleTimeout,
		}},
		reports: make(map[machine.Node]*connect.Client[Report, Word]),
		asks:    make(map[machine.Node]*connect.Client[Question, Reply]),
		stores:  make(map[machine.Node]*connect.Client[StoreCall, StoreReply]),
		claims:  make(map[machine.Node]*connect.Client[Claim, Noted]),
	}
}

// Report sends what an agent knows to a gate.
func (c *Client) Report(ctx context.Context, to machine.Node, report Report) (Word, error) {
	return call(ctx, c, c.reports, to, reportPath, &report)
}

// Ask asks a gate about a job or a queue.
func (c *Client) Ask(ctx context.Context, to machine.Node, question Question) (Reply, error) {
	return call(ctx, c, c.asks, to, askPath, &question)
}

// Store has a gate carry out a call of the table service.
func (c *Client) Store(ctx context.Context, to machine.Node, request StoreCall) (StoreReply, error) {
	return call(ctx, c, c.stores, to, storePath, &request)
}

// Lead tells a gate who leads.
func (c *Client) Lead(ctx context.Context, to machine.Node, claim Claim) error {
	_, err := call(ctx, c, c.claims, to, leadPath, &claim)
	return err
}

func call[Q, A any](ctx context.Context, c *Client, clients map[machine.Node]*connect.Client[Q, A], to machine.Node, path string, message *Q) (A, error) {
	c.mu.Lock()
	client := clients[to]
	if client == nil {
		client = connect.NewClient[Q, A](c.http, "http://"+string(to)+path,
			connect.WithCodec(newCodec()), connect.WithReadMaxBytes(MaxMessage))
		clients[to] = client
	}
	c.mu.Unlock()
	response, err := client.CallUnary(ctx, connect.NewRequest(message))
	if err != nil {
		var none A
		return none, err
	}
	return *response.Msg, nil
}
