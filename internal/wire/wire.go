// Package wire defines the messages between the system's own processes and
// their encoding.
package wire

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// firstAgentKind and lastAgentKind bound the kinds that agents send to each
	// other.
	firstAgentKind Kind = 40
	lastAgentKind  Kind = 59
)

type (
	// Kind tells the type of a message's body. A kind is never reused.
	Kind uint8

	// Frame is a message as it travels.
	Frame struct {
		From machine.Node    `cbor:"1,keyasint"`
		Kind Kind            `cbor:"2,keyasint"`
		Body cbor.RawMessage `cbor:"3,keyasint"`
	}

	// KindError says that a message is of a kind that this process does not know.
	KindError struct {
		Kind Kind
		Type string
	}

	entry struct {
		kind   Kind
		name   string
		decode func([]byte) (any, error)
	}
)

var (
	byKind = make(map[Kind]entry)
	byType = make(map[reflect.Type]entry)
	codec  = newCodec()
)

func (e *KindError) Error() string {
	if e.Type != "" {
		return "unregistered message type " + e.Type
	}
	return fmt.Sprintf("unknown message kind %d", e.Kind)
}

// Register adds a message type under a kind. It is called from init functions,
// and panics if the kind is taken.
func Register[T any](kind Kind) {
	if taken, ok := byKind[kind]; ok {
		panic(fmt.Sprintf("kind %d is taken by %s", kind, taken.name))
	}
	e := entry{kind: kind, name: reflect.TypeFor[T]().Name(), decode: func(data []byte) (any, error) {
		var body T
		err := codec.Unmarshal(data, &body)
		return body, err
	}}
	byKind[kind] = e
	byType[reflect.TypeFor[T]()] = e
}

// FromAgent reports whether an agent may send the message. All others come from
// gates only.
func FromAgent(body any) bool {
	switch body.(type) {
	case Announce, Holding, Reserved, Running, Stopped, Ended, Described:
		return true
	default:
		kind := byType[reflect.TypeOf(body)].kind
		return kind >= firstAgentKind && kind <= lastAgentKind
	}
}

// Encode returns the bytes of a message.
func Encode(from machine.Node, body any) ([]byte, error) {
	e, ok := byType[reflect.TypeOf(body)]
	if !ok {
		return nil, &KindError{Type: fmt.Sprintf("%T", body)}
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(Frame{From: from, Kind: e.kind, Body: data})
}

// Decode returns the message that the bytes hold. It returns a KindError if the
// kind is unknown.
func Decode(data []byte) (machine.Message, error) {
	var frame Frame
	if err := codec.Unmarshal(data, &frame); err != nil {
		return machine.Message{}, err
	}
	e, ok := byKind[frame.Kind]
	if !ok {
		return machine.Message{}, &KindError{Kind: frame.Kind}
	}
	body, err := e.decode(frame.Body)
	if err != nil {
		return machine.Message{}, err
	}
	return machine.Message{From: frame.From, Body: body}, nil
}

func newCodec() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
