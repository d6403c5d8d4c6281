package main

import (
	"sync"
	"time"
)

// Case 15: a start gets no answer and is carried out 10.9 s later, by a runner that has crashed and
// started again under its id and whose calls hang for 5.5 s.
func init() {
	cases["15"] = func(f *fleet, rec *recorder, trouble bool) (int, string) {
		const (
			id       = "00000000000000aa"
			late     = 10_900 * time.Millisecond
			hangAt   = 7 * time.Second
			crashAt  = 7500 * time.Millisecond
			rebornAt = 8 * time.Second
			wellAt   = 12_500 * time.Millisecond
		)
		var once sync.Once
		if trouble {
			for _, r := range f.runners {
				r.delayStart = func(string, uint64) (delay time.Duration) {
					once.Do(func() {
						delay = late
						at := func(d time.Duration, what string, act func()) {
							time.AfterFunc(d, func() {
								rec.write(what, r.id)
								act()
							})
						}
						at(hangAt, "calls hang from now on:", func() { r.setHang(true) })
						at(crashAt, "crashes:", r.crash)
						at(rebornAt, "starts again under its id:", func() { _ = r.start() })
						at(wellAt, "calls hang no more:", func() { r.setHang(false) })
					})
					return delay
				}
			}
		}
		if !f.submit("/normal/"+id, "key-a", smallJob(1, 9000)) {
			return failed, "not accepted"
		}
		time.Sleep(25 * time.Second)
		if state := f.state("/normal/"+id, "key-a"); state != "completed" {
			rec.write("the job is not completed:", state)
		}
		if twice := rec.firstTwice(); twice != "" {
			return broken, twice
		}
		return held, "no two runs of a work item at the same time"
	}
}
