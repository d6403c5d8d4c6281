package serve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/serve"
)

// TestDrainer shuts a gate's server down while one client has an open connection
// and another one connects. Both must get complete answers that ask them to
// open another connection.
func TestDrainer(t *testing.T) {
	drainer := serve.NewDrainer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "whole")
	}))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: drainer}
	go server.Serve(listener)
	get := func(client *http.Client) (string, bool) {
		t.Helper()
		response, err := client.Get("http://" + listener.Addr().String())
		if err != nil {
			t.Errorf("request failed: %v", err)
			return "", false
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Errorf("answer incomplete: %v", err)
		}
		return string(body), response.Close
	}
	connected := &http.Client{Transport: &http.Transport{}}
	if body, closes := get(connected); body != "whole" || closes {
		t.Errorf("got %q, close %t", body, closes)
	}
	ended := make(chan error, 1)
	go func() { ended <- drainer.Drain(context.Background(), server, time.Second) }()
	for !drainer.Draining() {
		runtime.Gosched()
	}
	for _, client := range []*http.Client{connected, {Transport: &http.Transport{}}} {
		if body, closes := get(client); body != "whole" || !closes {
			t.Errorf("got %q, close %t", body, closes)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("server did not end in time: %v", err)
	}
}
