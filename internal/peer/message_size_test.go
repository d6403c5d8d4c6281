package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/peer"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// segmentHeader is the size in bytes of the headers of IPv4 and TCP with time stamps.
	segmentHeader = 52

	// datagramHeader is the size in bytes of the headers of IPv4 and UDP.
	datagramHeader = 28

	// acknowledgements is the number of TCP segments without data for each call.
	acknowledgements = 1

	// nodeBudget is the limit, in bytes per second, of a node's control traffic.
	nodeBudget = 5000

	// messages is the number of messages that are sent in each measurement.
	messages = 100
)

// counter counts the bytes and the segments of a connection in both directions. It
// takes each read and each write as one segment.
type counter struct {
	net.Conn
	bytes    *atomic.Int64
	segments *atomic.Int64
}

func (c counter) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count(n)
	return n, err
}

func (c counter) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count(n)
	return n, err
}

func (c counter) count(n int) {
	if n > 0 {
		c.bytes.Add(int64(n))
		c.segments.Add(1)
	}
}

// measure returns the bytes that one message takes on an established
// connection, in both directions and with all headers.
func measure(t *testing.T, secure, http2 bool, body any) int {
	t.Helper()
	received := make(chan machine.Message)
	path, handler := peer.NewHandler(func(m machine.Message) { received <- m })
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		r.TLS = nil
		handler.ServeHTTP(w, r)
	})
	server := httptest.NewUnstartedServer(mux)
	server.EnableHTTP2 = http2
	scheme := "http"
	if secure {
		scheme = "https"
		server.StartTLS()
	} else {
		server.Start()
	}
	defer server.Close()
	var bytes, segments atomic.Int64
	client := server.Client()
	transport, ok := client.Transport.(*http.Transport)
	if !ok {
		t.Fatalf("transport is %T", client.Transport)
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return counter{Conn: conn, bytes: &bytes, segments: &segments}, err
	}
	sender := peer.NewSender(t.Context(), "10.0.0.7:7100", scheme, client, func(string) {})
	to := machine.Node(server.Listener.Addr().String())
	send := func(count int) int {
		bytesBefore, segmentsBefore := bytes.Load(), segments.Load()
		for range count {
			sender.Send(to, body)
			<-received
		}
		return int(bytes.Load()-bytesBefore) + segmentHeader*(int(segments.Load()-segmentsBefore)+acknowledgements*count)
	}
	send(messages)
	return send(messages) / messages
}

// datagramSize returns the bytes that one message takes as a datagram.
func datagramSize(t *testing.T, body any) int {
	t.Helper()
	data, err := wire.Encode("10.0.0.7:7100", body)
	if err != nil {
		t.Fatal(err)
	}
	return len(data) + datagramHeader
}

func gangHeartbeats(count int) wire.GangHeartbeats {
	var message wire.GangHeartbeats
	for range count {
		id := wire.TaskID{Job: job.NewID("account", "key"), Attempt: 1, Rank: 3, Epoch: 12}
		message.Heartbeats = append(message.Heartbeats, wire.GangHeartbeat{Task: id, From: 4, State: gang.Running})
	}
	return message
}

// TestBytes logs the size of each message on the wire for each transport. It
// checks that an agent stays within nodeBudget with calls over TLS when it
// announces itself and exchanges gang heartbeats (wire.GangHeartbeats) for 19 gang
// members with two neighbours.
func TestBytes(t *testing.T) {
	worker := floor.Worker{
		ID: "worker-0123", Rack: "rack-12", DataCentre: "dc-3", Region: "vidzeme",
		Accelerators: 8, Cores: 130, Memory: 500 << 10, Slots: 8, Cooling: 2400,
	}
	bodies := []struct {
		name        string
		body        any
		perInterval int
	}{
		{"announce", wire.Announce{Worker: worker, Incarnation: 1 << 60, Epoch: 12, Revision: 40000, PowerDraw: 900}, 1},
		{"heartbeat", wire.Heartbeat{Incarnation: 1 << 60, Epoch: 12, Revision: 40000, PowerDraw: 900}, 0},
		{"redirect", wire.Redirect{Leader: "10.0.0.1:7100", Epoch: 12}, 1},
		{"gang of 1", gangHeartbeats(1), 0},
		{"gang of 19", gangHeartbeats(19), 4},
	}
	bytesPerInterval := 0
	for _, b := range bodies {
		overHTTP1 := measure(t, false, false, b.body)
		overTLS := measure(t, true, false, b.body)
		overHTTP2 := measure(t, true, true, b.body)
		bytesPerInterval += b.perInterval * overTLS
		t.Logf("%-10s datagram %5d, call by HTTP/1.1 %5d, by TLS %5d, by TLS and HTTP/2 %5d bytes",
			b.name, datagramSize(t, b.body), overHTTP1, overTLS, overHTTP2)
	}
	if budget := nodeBudget * int(gang.DefaultInterval/time.Second); bytesPerInterval > budget {
		t.Errorf("an agent spends %d bytes in an interval, want at most %d", bytesPerInterval, budget)
	}
}
