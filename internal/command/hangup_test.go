package command_test

import (
	"context"
	"syscall"
	"testing"

	"github.com/lovageroad/lovageroad/internal/command"
)

// TestHangupOutsideService guards against a process that SIGHUP ends while its role starts or
// drains. Without the fix it ends this test's process.
func TestHangupOutsideService(t *testing.T) {
	if err := command.New().Run(context.Background(), []string{"lovageroad", "serve", "agent"}); err == nil {
		t.Fatal("no error without a settings file")
	}
	for range 10 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
}
