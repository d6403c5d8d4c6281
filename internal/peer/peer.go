// Package peer carries messages between the system's own processes by connect
// over HTTP, encoded in CBOR.
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
	// Procedure is the path of the one call between processes.
	Procedure = "/lovageroad.v1.Peer/Send"

	// SendTimeout bounds one delivery.
	SendTimeout = 3 * time.Second

	// MaxMessage is the largest message in bytes.
	MaxMessage = 8 << 20

	// MaxQueue is the number of messages that wait for one peer. A message over
	// it is dropped, as on a lossy link.
	MaxQueue = 4096
)

type (
	// Packet is an encoded message as the codec passes it through.
	Packet struct {
		Data []byte
	}

	// Sender delivers messages to other processes, in order for each of them, at
	// most once.
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

// Name returns the name under which connect announces the codec.
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

// NewHandler returns the path and the handler that hand each message received
// to deliver.
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
		connect.WithCodec(packetCodec{}), connect.WithReadMaxBytes(MaxMessage))
	return Procedure, withConnection(handler)
}

// NewSender returns a sender for the process self. It ends with the context.
// Each message dropped is reported to drop.
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
	case s.queue(to) <- data:
	default:
		s.drop("queue")
	}
}

func (s *Sender) queue(to machine.Node) chan []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[to]
	if !ok {
		queue = make(chan []byte, MaxQueue)
		s.queues[to] = queue
		go s.deliver(to, queue)
	}
	return queue
}

func (s *Sender) deliver(to machine.Node, queue chan []byte) {
	client := connect.NewClient[Packet, Packet](s.client, s.scheme+"://"+string(to)+Procedure,
		connect.WithCodec(packetCodec{}), connect.WithSendMaxBytes(MaxMessage))
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
