package main

import (
	"net"
	"sync"
	"time"
)

// linkChunk is how many bytes are sent at a time.
const linkChunk = 8 << 10

// link is a proxy on loopback that stands for the network link of one machine: all its
// connections together get a limited rate in each direction.
type link struct {
	target   string
	up, down limiter
}

// limiter spaces out bytes so that they don't exceed a rate.
type limiter struct {
	bytesPerSecond float64
	mu             sync.Mutex
	free           time.Time
}

// startLink starts a link of the given rate between its address and the target.
func startLink(address, target string, megabits float64) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	rate := megabits * 1e6 / 8
	l := &link{target: target, up: limiter{bytesPerSecond: rate}, down: limiter{bytesPerSecond: rate}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(client)
		}
	}()
	return nil
}

func (l *link) serve(client net.Conn) {
	server, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	go l.up.carry(server, client)
	l.down.carry(client, server)
}

// carry copies bytes until one end closes, and then closes both.
func (l *limiter) carry(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, linkChunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.await(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *limiter) await(n int) {
	l.mu.Lock()
	l.free = later(l.free, time.Now()).Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
