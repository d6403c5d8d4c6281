// Package peer sends and receives messages between the system's own processes:
// unary calls of the Connect protocol over HTTP, encoded in CBOR.
package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// Procedure is the path of the only RPC.
	Procedure = "/lovageroad.v1.Peer/Send"

	// SendTimeout bounds the delivery of one message.
	SendTimeout = 3 * time.Second

	// MaxMessageBytes is the largest message in bytes.
	MaxMessageBytes = 8 << 20

	// MaxQueue is the number of messages that may be queued for one peer. Further
	// messages are dropped, as on a lossy link.
	MaxQueue = 4096
)

type (
	// Packet is an encoded message. The codec passes its bytes through unchanged.
	Packet struct {
		Data []byte
	}

	// Sender delivers messages to other processes: at most once, and in order for
	// each receiver. Messages that can't be delivered are dropped.
	Sender struct {
		self   machine.Node
		client connect.HTTPClient
		scheme string
		mu     sync.Mutex
		queues map[machine.Node]chan []byte
		drop   func(reason string)
		ctx    context.Context
	}

	packetCodec struct{}
)

// Name returns the codec's name in the Connect protocol's content type.
func (packetCodec) Name() string { return "cbor" }

// Marshal returns the bytes of a packet.
func (packetCodec) Marshal(message any) ([]byte, error) {
	packet, ok := message.(*Packet)
	if !ok {
		return nil, fmt.Errorf("cannot encode %T", message)
	}
	return packet.Data, nil
}

// Unmarshal stores the bytes in a packet.
func (packetCodec) Unmarshal(data []byte, message any) error {
	packet, ok := message.(*Packet)
	if !ok {
		return fmt.Errorf("cannot decode %T", message)
	}
	packet.Data = append([]byte(nil), data...)
	return nil
}

// NewHandler returns the path and the HTTP handler for messages of other
// processes. Each message that can be decoded is passed to deliver, unless the
// connection's certificate does not allow its sender to send it.
func NewHandler(deliver func(machine.Message)) (string, http.Handler) {
	receive := func(ctx context.Context, request *connect.Request[Packet]) (*connect.Response[Packet], error) {
		message, err := wire.Decode(request.Msg.Data)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if err := checkSender(ctx, message); err != nil {
			return nil, connect.NewError(connect.CodePermissionDenied, err)
		}
		deliver(message)
		return connect.NewResponse(&Packet{}), nil
	}
	handler := connect.NewUnaryHandler(Procedure, receive,
		connect.WithCodec(packetCodec{}), connect.WithReadMaxBytes(MaxMessageBytes))
	return Procedure, withTLSState(handler)
}

// NewSender returns a Sender for the process self, which stops when the context
// ends. drop is called for each dropped message with the reason: "encode",
// "queue" (full) or "send" (the call failed; the message may have been delivered
// all the same).
func NewSender(ctx context.Context, self machine.Node, scheme string, client connect.HTTPClient, drop func(reason string)) *Sender {
	return &Sender{
		self:   self,
		client: client,
		scheme: scheme,
		queues: make(map[machine.Node]chan []byte),
		drop:   drop,
		ctx:    ctx,
	}
}

// Send queues a message for a peer. It does not block.
func (s *Sender) Send(to machine.Node, body any) {
	data, err := wire.Encode(s.self, body)
	if err != nil {
		s.drop("encode")
		return
	}
	select {
	case s.queueFor(to) <- data:
	default:
		s.drop("queue")
	}
}

func (s *Sender) queueFor(to machine.Node) chan []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[to]
	if !ok {
		queue = make(chan []byte, MaxQueue)
		s.queues[to] = queue
		go s.sendQueued(to, queue)
	}
	return queue
}

// sendQueued sends the queued messages for a peer one by one until the context
// ends.
func (s *Sender) sendQueued(to machine.Node, queue chan []byte) {
	client := connect.NewClient[Packet, Packet](s.client, s.scheme+"://"+string(to)+Procedure,
		connect.WithCodec(packetCodec{}), connect.WithSendMaxBytes(MaxMessageBytes))
	for {
		select {
		case <-s.ctx.Done():
			return
		case data := <-queue:
			s.call(client, data)
		}
	}
}

func (s *Sender) call(client *connect.Client[Packet, Packet], data []byte) {
	ctx, cancel := context.WithTimeout(s.ctx, SendTimeout)
	defer cancel()
	if _, err := client.CallUnary(ctx, connect.NewRequest(&Packet{Data: data})); err != nil {
		s.drop("send")
	}
}
