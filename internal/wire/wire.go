// Package wire defines the messages between the system's own processes and
// encodes them as CBOR.
package wire

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// firstAgentKind and lastAgentKind bound a range of kinds that are all
	// accepted from agents. The kinds of the gates' settings messages lie in it
	// too.
	firstAgentKind Kind = 40
	lastAgentKind  Kind = 59
)

type (
	// Kind identifies the type of a message's body on the wire. Kinds are never
	// reused.
	Kind uint8

	// Frame is the envelope of an encoded message.
	Frame struct {
		From machine.Node    `cbor:"1,keyasint"`
		Kind Kind            `cbor:"2,keyasint"`
		Body cbor.RawMessage `cbor:"3,keyasint"`
	}

	// KindError reports a message kind, or a Go type, that is not registered.
	KindError struct {
		Kind Kind
		Type string
	}

	// registration is the kind of a message type, with the type's name and the
	// decoder of its bodies.
	registration struct {
		kind   Kind
		name   string
		decode func([]byte) (any, error)
	}
)

var (
	byKind     = make(map[Kind]registration)
	byType     = make(map[reflect.Type]registration)
	decodeMode = newDecodeMode()
)

func (e *KindError) Error() string {
	if e.Type != "" {
		return "unregistered message type " + e.Type
	}
	return fmt.Sprintf("unknown message kind %d", e.Kind)
}

// Register registers a message type under a kind. It must be called from an
// init function, and panics if the kind is already registered.
func Register[T any](kind Kind) {
	if taken, ok := byKind[kind]; ok {
		panic(fmt.Sprintf("message kind %d is already registered by %s", kind, taken.name))
	}
	r := registration{kind: kind, name: reflect.TypeFor[T]().Name(), decode: func(data []byte) (any, error) {
		var body T
		err := decodeMode.Unmarshal(data, &body)
		return body, err
	}}
	byKind[kind] = r
	byType[reflect.TypeFor[T]()] = r
}

// FromAgent reports whether an agent may send the message. All other messages
// come from gates only.
func FromAgent(body any) bool {
	switch body.(type) {
	case Announce, HeldTasks, Reserved, Running, Stopped, Ended, Described:
		return true
	default:
		kind := byType[reflect.TypeOf(body)].kind
		return kind >= firstAgentKind && kind <= lastAgentKind
	}
}

// Encode returns the encoded message. It returns a KindError if the type of the
// body is not registered.
func Encode(from machine.Node, body any) ([]byte, error) {
	r, ok := byType[reflect.TypeOf(body)]
	if !ok {
		return nil, &KindError{Type: fmt.Sprintf("%T", body)}
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(Frame{From: from, Kind: r.kind, Body: data})
}

// Decode decodes a message. It returns a KindError if the kind is not
// registered.
func Decode(data []byte) (machine.Message, error) {
	var frame Frame
	if err := decodeMode.Unmarshal(data, &frame); err != nil {
		return machine.Message{}, err
	}
	r, ok := byKind[frame.Kind]
	if !ok {
		return machine.Message{}, &KindError{Kind: frame.Kind}
	}
	body, err := r.decode(frame.Body)
	if err != nil {
		return machine.Message{}, err
	}
	return machine.Message{From: frame.From, Body: body}, nil
}

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
