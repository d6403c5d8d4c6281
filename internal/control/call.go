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

	"github.com/lovageroad/lovageroad/internal/forecast"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	reportPath         = "/lovageroad.v1.Control/Report"
	askPath            = "/lovageroad.v1.Control/Ask"
	callTablePath      = "/lovageroad.v1.Control/Store"
	announceLeaderPath = "/lovageroad.v1.Control/Lead"

	// MaxMessageBytes is the size limit of a message in bytes. The largest messages
	// carry a page of table rows.
	MaxMessageBytes = 8 << 20

	// dialTimeout bounds the time to set up a connection: many times the round
	// trip between data centres.
	dialTimeout = 500 * time.Millisecond

	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
)

type (
	// Query asks the leader for the state of a job, or for the number of jobs
	// that wait in a queue if Job is empty, or for its forecast.
	Query struct {
		Job      work.JobID   `cbor:"1,keyasint,omitempty"`
		Queue    work.QueueID `cbor:"2,keyasint,omitempty"`
		Forecast bool         `cbor:"5,keyasint,omitempty"`
	}

	// QueryReply answers a Query.
	QueryReply struct {
		// Leads says that the answering gate leads. Otherwise the other fields
		// are empty.
		Leads bool `cbor:"1,keyasint,omitempty"`

		// Known says that the leader knows the job, and State is its state.
		Known bool   `cbor:"2,keyasint,omitempty"`
		State string `cbor:"3,keyasint,omitempty"`

		// Waiting is the number of jobs in the queue that have not begun.
		Waiting int `cbor:"4,keyasint,omitempty"`

		// Forecast is the answer to a query for it. A leader of an earlier build gives none.
		Forecast *forecast.Forecast `cbor:"5,keyasint,omitempty"`
	}

	// LeaderNotice announces to the other gates that a gate has become leader.
	LeaderNotice struct {
		Leader machine.Node `cbor:"1,keyasint"`
		Epoch  lease.Epoch  `cbor:"2,keyasint"`
	}

	// LeaderNoticeReply is the empty answer to a LeaderNotice.
	LeaderNoticeReply struct{}

	// TableCall asks a gate to make one call to the table service for a process
	// that has no direct table access. It is one of Commit, Scan, Changes, Newest
	// and, if none of these is set, Read. Scan uses Prefix, AfterKey and
	// Limit, Changes uses Prefix, AfterVersion and Wait.
	TableCall struct {
		Commit       *table.Txn    `cbor:"1,keyasint,omitempty"`
		Read         []table.Key   `cbor:"2,keyasint,omitempty"`
		Scan         bool          `cbor:"3,keyasint,omitempty"`
		Changes      bool          `cbor:"4,keyasint,omitempty"`
		Prefix       table.Key     `cbor:"5,keyasint,omitempty"`
		AfterKey     table.Key     `cbor:"6,keyasint,omitempty"`
		Limit        int           `cbor:"7,keyasint,omitempty"`
		AfterVersion table.Version `cbor:"8,keyasint,omitempty"`
		Wait         time.Duration `cbor:"9,keyasint,omitempty"`
		Newest       bool          `cbor:"10,keyasint,omitempty"`
	}

	// TableReply answers a TableCall. At most one of the errors is set.
	TableReply struct {
		Rows      []table.Row           `cbor:"1,keyasint,omitempty"`
		Changes   []table.Change        `cbor:"2,keyasint,omitempty"`
		Version   table.Version         `cbor:"3,keyasint,omitempty"`
		Conflict  *table.ConflictError  `cbor:"4,keyasint,omitempty"`
		Rejected  *table.RejectedError  `cbor:"5,keyasint,omitempty"`
		Uncertain *table.UncertainError `cbor:"6,keyasint,omitempty"`
		History   *table.HistoryError   `cbor:"7,keyasint,omitempty"`
	}

	// Server is implemented by a gate. It answers the calls of agents and of
	// other gates.
	Server interface {
		Report(ctx context.Context, report Report) Orders
		Ask(ctx context.Context, query Query) QueryReply
		CallTable(ctx context.Context, call TableCall) TableReply
		AnnounceLeader(ctx context.Context, notice LeaderNotice) LeaderNoticeReply
	}

	// Client calls gates. It is safe for use by several goroutines.
	Client struct {
		http          *http.Client
		mu            sync.Mutex
		reports       map[machine.Node]*connect.Client[Report, Orders]
		asks          map[machine.Node]*connect.Client[Query, QueryReply]
		tableCalls    map[machine.Node]*connect.Client[TableCall, TableReply]
		leaderNotices map[machine.Node]*connect.Client[LeaderNotice, LeaderNoticeReply]
	}

	// codec encodes connect messages as CBOR.
	codec struct {
		decode cbor.DecMode
	}
)

// Name returns the codec's name in the content type of connect messages.
func (codec) Name() string { return "cbor" }

// Marshal encodes a message as CBOR.
func (codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message from CBOR.
func (c codec) Unmarshal(data []byte, message any) error {
	return c.decode.Unmarshal(data, message)
}

func newCodec() codec {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("invalid CBOR decoder options: %v", err))
	}
	return codec{decode: mode}
}

// NewHandler returns an HTTP handler that passes the calls of agents and of other
// gates on to s.
func NewHandler(s Server) http.Handler {
	mux := http.NewServeMux()
	handle(mux, reportPath, s.Report)
	handle(mux, askPath, s.Ask)
	handle(mux, callTablePath, s.CallTable)
	handle(mux, announceLeaderPath, s.AnnounceLeader)
	return mux
}

func handle[Q, A any](mux *http.ServeMux, path string, serve func(context.Context, Q) A) {
	unary := func(ctx context.Context, request *connect.Request[Q]) (*connect.Response[A], error) {
		answer := serve(ctx, *request.Msg)
		return connect.NewResponse(&answer), nil
	}
	mux.Handle(path, connect.NewUnaryHandler(path, unary,
		connect.WithCodec(newCodec()), connect.WithReadMaxBytes(MaxMessageBytes)))
}

// NewClient returns a client without connections. It connects to a gate at the
// first call to it.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     idleTimeout,
		}},
		reports:       make(map[machine.Node]*connect.Client[Report, Orders]),
		asks:          make(map[machine.Node]*connect.Client[Query, QueryReply]),
		tableCalls:    make(map[machine.Node]*connect.Client[TableCall, TableReply]),
		leaderNotices: make(map[machine.Node]*connect.Client[LeaderNotice, LeaderNoticeReply]),
	}
}

// Report sends an agent's report to a gate and returns its answer.
func (c *Client) Report(ctx context.Context, to machine.Node, report Report) (Orders, error) {
	return call(ctx, c, c.reports, to, reportPath, &report)
}

// Ask asks a gate for the state of a job or the number of jobs waiting in a queue.
func (c *Client) Ask(ctx context.Context, to machine.Node, query Query) (QueryReply, error) {
	return call(ctx, c, c.asks, to, askPath, &query)
}

// CallTable has a gate make a call to the table service.
func (c *Client) CallTable(ctx context.Context, to machine.Node, request TableCall) (TableReply, error) {
	return call(ctx, c, c.tableCalls, to, callTablePath, &request)
}

// AnnounceLeader announces a new leader to a gate.
func (c *Client) AnnounceLeader(ctx context.Context, to machine.Node, notice LeaderNotice) error {
	_, err := call(ctx, c, c.leaderNotices, to, announceLeaderPath, &notice)
	return err
}

func call[Q, A any](ctx context.Context, c *Client, clients map[machine.Node]*connect.Client[Q, A], to machine.Node, path string, message *Q) (A, error) {
	c.mu.Lock()
	client := clients[to]
	if client == nil {
		client = connect.NewClient[Q, A](c.http, "http://"+string(to)+path,
			connect.WithCodec(newCodec()), connect.WithReadMaxBytes(MaxMessageBytes))
		clients[to] = client
	}
	c.mu.Unlock()
	response, err := client.CallUnary(ctx, connect.NewRequest(message))
	if err != nil {
		var zero A
		return zero, err
	}
	return *response.Msg, nil
}
