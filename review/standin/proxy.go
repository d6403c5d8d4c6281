package main

import (
	"bytes"
	"io"
	"net"
	"regexp"
	"strconv"
	"sync"
)

// link forwards connections from one loopback address to another. While it is cut it
// passes nothing in either direction, and connections stay open.
type link struct {
	target   string
	listener net.Listener

	// port replaces the port of the gates' addresses in what the target sends, so that
	// the process at the other end uses its own links to the gates. 0 means none.
	port int

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newLink(address, target string, port int) (*link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener, port: port, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, nil
}

// set cuts the link, or heals it. Connections that were cut are closed then.
func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut && !cut {
		for conn := range l.conns {
			conn.Close()
		}
	}
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) track(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[conn] = true
		return
	}
	delete(l.conns, conn)
	conn.Close()
}

func (l *link) forward(client net.Conn) {
	l.track(client, true)
	defer l.track(client, false)
	server, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	l.track(server, true)
	defer l.track(server, false)
	ended := make(chan struct{}, 2)
	go func() { l.copy(server, client, false); ended <- struct{}{} }()
	go func() { l.copy(client, server, true); ended <- struct{}{} }()
	<-ended
}

// copy passes on data until the connection ends. Data is lost while the link is cut.
func (l *link) copy(to io.Writer, from io.Reader, rewrite bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.isCut() {
			data := buffer[:n]
			switch {
			case l.port == 0:
			case rewrite:
				data = gateAddress.ReplaceAll(data, []byte("${1}:"+strconv.Itoa(l.port)))
			default:
				// Addresses can be replaced only in answers that aren't compressed.
				data = bytes.ReplaceAll(data, []byte("Accept-Encoding: gzip"), []byte("Accept-Encoding: none"))
			}
			if _, err := to.Write(bytes.Clone(data)); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

var gateAddress = regexp.MustCompile(`(127\.\d+\.\d+\.\d+):` + strconv.Itoa(peerPort))
