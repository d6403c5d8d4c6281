package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a process of the system under review.
type process struct {
	name, role, settings, logPath, binary string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func newProcess(dir, binary, name, role string, settings map[string]any) (*process, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p := &process{
		name: name, role: role, binary: binary,
		settings: filepath.Join(dir, name+".json"), logPath: filepath.Join(dir, name+".log"),
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	return p, p.start()
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.binary, "serve", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGEROAD_BOOT=" + p.settings, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// end asks the process to end, or kills it after a time, and waits for its end.
func (p *process) end(grace time.Duration) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if grace > 0 {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-ended:
			return
		case <-time.After(grace):
		}
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-ended
}
