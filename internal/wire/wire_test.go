package wire_test

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

func messages() []any {
	task := wire.TaskID{Job: "0123456789abcdef0123456789abcdef", Attempt: 2, Rank: 3}
	order := wire.Order{Epoch: 7, Revision: 9, Incarnation: 11}
	worker := floor.Worker{ID: "w1", Rack: "r1", DataCentre: "d1", Region: "g1", Accelerators: 8, Cores: 32, Memory: 65536, Slots: 8}
	share := floor.Share{Worker: "w1", Accelerators: 0xf, Cores: 2, Memory: 1024}
	return []any{
		wire.Announce{Worker: worker, Incarnation: 5, Epoch: 7, Revision: 9},
		wire.Reserve{Order: order, Task: task, Share: share, Spec: job.Spec{Account: "a", Class: "c", Expected: time.Minute}, Peers: []machine.Node{"10.0.0.1:1"}},
		wire.Ended{Epoch: 7, Task: task, Result: wire.Result{Answer: job.NewAnswer([]byte("x"))}},
		wire.Stop{Order: order, Task: task, Checkpoint: true, Grace: time.Second},
	}
}

// TestRoundTrip encodes and decodes messages.
func TestRoundTrip(t *testing.T) {
	for _, body := range messages() {
		data, err := wire.Encode("10.0.0.1:7000", body)
		if err != nil {
			t.Fatal(err)
		}
		message, err := wire.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if message.From != "10.0.0.1:7000" || !reflect.DeepEqual(message.Body, body) {
			t.Errorf("got %+v, want %+v", message, body)
		}
	}
}

// TestUnknownKind decodes a message of a kind that is not registered.
func TestUnknownKind(t *testing.T) {
	type stranger struct{}
	var kind *wire.KindError
	if _, err := wire.Encode("n", stranger{}); !errors.As(err, &kind) {
		t.Errorf("encode: %v", err)
	}
}

// FuzzDecode decodes any bytes.
func FuzzDecode(f *testing.F) {
	for _, body := range messages() {
		data, err := wire.Encode("n", body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) { decodeAny(t, data) })
}

// TestMutatedMessages decodes messages with random bytes changed, under a fixed
// seed.
func TestMutatedMessages(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 3000 {
		all := messages()
		data, err := wire.Encode("n", all[random.IntN(len(all))])
		if err != nil {
			t.Fatal(err)
		}
		for range 1 + random.IntN(4) {
			data[random.IntN(len(data))] = byte(random.UintN(256))
		}
		decodeAny(t, data[:1+random.IntN(len(data))])
	}
}

// decodeAny decodes bytes, and what decodes must encode again.
func decodeAny(t *testing.T, data []byte) {
	t.Helper()
	message, err := wire.Decode(data)
	if err != nil {
		return
	}
	if _, err := wire.Encode(message.From, message.Body); err != nil {
		t.Errorf("%x decodes to %+v, which does not encode: %v", data, message, err)
	}
}
