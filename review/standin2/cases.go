package main

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// settleTime is the time between the start of the machines and of the traffic.
	settleTime = 10 * time.Second

	// serveTime is how long a first job may take.
	serveTime = 15 * time.Second

	// finishTime is when jobs are asked for after the end of the traffic (finish_s), and
	// idleTime how long a job may have nothing running then.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second

	// cancelTime is when no work item of a cancelled job may start any more (cancel_ms).
	cancelTime = 3 * time.Second

	// newMachineDelay is when a new machine comes after one that was removed for good.
	newMachineDelay = time.Second
)

var (
	smallStep = step{Count: 1, CPU: 1000, Memory: 256, Estimate: 1000}

	cases = map[string]func(w *world, trouble bool) error{
		"front-machines-replaced": frontMachinesReplaced,
		"takeover-on-slow-link":   takeoverOnSlowLink,
		"late-job-after-cancel":   lateJobAfterCancel,
		"runner-clock-set-back":   runnerClockSetBack,
		"manifest-in-takeover":    manifestInTakeover,
	}
)

// checkStarted hands jobs in and returns errBroken if one that was accepted has not started
// finishTime and idleTime after the last. It then watches on for the given time.
func (w *world) checkStarted(bodies [][]byte, watch time.Duration) error {
	var accepted []string
	for _, body := range bodies {
		job := w.newJob()
		if w.submit(job, body) {
			accepted = append(accepted, job)
		}
		time.Sleep(time.Second)
	}
	if len(accepted) == 0 {
		return errors.New("no job was accepted")
	}
	w.record.add("end of the traffic: %d of %d jobs accepted", len(accepted), len(bodies))
	time.Sleep(finishTime + idleTime)
	idle := w.idle(accepted)
	w.record.add("%s after the end of the traffic: %d of %d accepted jobs have not started", finishTime+idleTime, len(idle), len(accepted))
	if len(idle) == 0 {
		return nil
	}
	for _, job := range idle {
		w.awaitState(job, "completed", time.Millisecond)
	}
	time.Sleep(watch)
	w.record.add("%s later: %d of %d accepted jobs have not started", watch, len(w.idle(accepted)), len(accepted))
	return errBroken
}

// idle returns those of the jobs that have not started.
func (w *world) idle(jobs []string) []string {
	var idle []string
	for _, job := range jobs {
		if _, ok := w.record.firstStart(job); !ok {
			idle = append(idle, job)
		}
	}
	return idle
}

func repeated(body []byte, count int) [][]byte {
	bodies := make([][]byte, count)
	for i := range bodies {
		bodies[i] = body
	}
	return bodies
}

// frontMachinesReplaced removes all front machines for good. New ones come at other
// addresses, and the settings files of the others name them, without a signal.
func frontMachinesReplaced(w *world, trouble bool) error {
	if err := w.prepare([]int{1, 2}, []int{11, 12, 13}); err != nil {
		return err
	}
	if trouble {
		for _, g := range w.liveGates() {
			w.removeGate(g)
		}
		time.Sleep(newMachineDelay)
		if err := w.startGates(3, 4); err != nil {
			return err
		}
		for _, a := range w.agents {
			if _, err := w.writeSettings(a, w.liveGates()); err != nil {
				return err
			}
		}
		w.record.add("settings files of the side machines name the new gates")
		time.Sleep(settleTime)
	}
	return w.checkStarted(repeated(jobBody(500*time.Millisecond, 0, smallStep), 5), 30*time.Second)
}

// takeoverOnSlowLink kills the leading gate after a minute of traffic, and starts it again 3.5 s
// later. The gates are on front machines of the smallest class of the grown deployments.
func takeoverOnSlowLink(w *world, trouble bool) error {
	const (
		jobsPerSecond = 4
		jobCount      = 200
		specBytes     = 4000
		outage        = 3500 * time.Millisecond
	)
	small := machineClass{share: 0.192, megabits: 10, memory: 184, files: 4100, limited: true}
	w.classes = map[int]machineClass{1: small, 2: small}
	if err := w.prepare([]int{1, 2}, []int{11, 12, 13}); err != nil {
		return err
	}
	body := jobBody(100*time.Millisecond, specBytes, smallStep)
	accepted := 0
	for range jobCount {
		next := time.Now().Add(time.Second / jobsPerSecond)
		if w.submit(w.newJob(), body) {
			accepted++
		}
		time.Sleep(time.Until(next))
	}
	rows, size := w.store.count("job")
	w.record.add("%d of %d jobs accepted; the store has %d jobs of %d bytes", accepted, jobCount, rows, size)
	if err := w.checkServing(); err != nil {
		return err
	}
	if trouble {
		leader := w.leader()
		if leader == nil {
			return errors.New("no gate holds the lease")
		}
		w.record.add("%s leads", leader.node)
		w.removeGate(leader)
		time.Sleep(outage)
		if err := w.start(leader, []*process{leader}); err != nil {
			return err
		}
		w.mu.Lock()
		w.gates = append(w.gates, leader)
		w.mu.Unlock()
		time.Sleep(settleTime)
	}
	return w.checkStarted(repeated(jobBody(500*time.Millisecond, 0, smallStep), 3), 0)
}

// leader returns the gate that last wrote the row of the lease.
func (w *world) leader() *process {
	w.store.mu.Lock()
	row := w.store.rows[rowID{Table: "lease", Key: "leader"}]
	w.store.mu.Unlock()
	for _, g := range w.liveGates() {
		if bytes.Contains(row.Value, []byte(w.address(g.machine, peerPort))) {
			return g
		}
	}
	return nil
}

// lateJobAfterCancel loses the answers to the transactions that store a job. They are carried
// out seconds later, after the client has cancelled the job. Three other clients hand jobs in as
// usual.
func lateJobAfterCancel(w *world, trouble bool) error {
	const (
		late = 6 * time.Second

		// others is the number of other clients, lead the time from the beginning of the
		// disruption to the job, and mostLost the largest share of transactions lost in it.
		others   = 3
		lead     = 2500 * time.Millisecond
		mostLost = 0.35
	)
	if err := w.prepare([]int{1, 2}, []int{11, 12}); err != nil {
		return err
	}
	job := w.newJob()
	var lost, answered atomic.Int64
	if trouble {
		w.store.mu.Lock()
		w.store.lose = func(t transaction) (time.Duration, bool) {
			for _, row := range t.Writes {
				if row.Table == "job" && row.Key == job {
					lost.Add(1)
					w.record.add("answer to the transaction that stores %s lost; it is carried out in %s", job, late)
					return late, true
				}
			}
			answered.Add(1)
			return 0, false
		}
		w.store.mu.Unlock()
	}
	for range others {
		if !w.submit(w.newJob(), jobBody(time.Second, 0, smallStep)) {
			return errors.New("the job of another client was not accepted")
		}
	}
	time.Sleep(lead)
	gate := w.liveGates()[0]
	w.send(gate, http.MethodPost, job, jobBody(5*time.Second, 0, smallStep))
	if trouble {
		w.store.mu.Lock()
		w.store.lose = nil
		w.store.mu.Unlock()
		w.record.add("the store answers all transactions again: %d lost, %d answered", lost.Load(), answered.Load())
		if float64(lost.Load()) > mostLost*float64(lost.Load()+answered.Load()) {
			return errors.New("more transactions were lost than the pages allow")
		}
	}
	var cancelled time.Time
	for range clientTries {
		if status, _ := w.send(gate, http.MethodDelete, job, nil); status/100 == 2 || status == http.StatusGone {
			cancelled = time.Now()
			break
		}
		time.Sleep(retryPause)
	}
	if cancelled.IsZero() {
		return errors.New("the job could not be cancelled")
	}
	time.Sleep(late + settleTime)
	start, started := w.record.firstStart(job)
	if !started || start.at.Sub(cancelled) <= cancelTime {
		return nil
	}
	w.record.add("a work item started %s after the answer to the cancelling", start.at.Sub(cancelled).Round(time.Millisecond))
	return errBroken
}

// runnerClockSetBack crashes a runner soon after its start. The next one starts after the time of
// day was set back.
func runnerClockSetBack(w *world, trouble bool) error {
	const (
		uptime, downtime = 800 * time.Millisecond, 600 * time.Millisecond
		step             = 2000 * time.Millisecond
	)
	if err := w.prepare([]int{1, 2}, []int{11, 12, 13, 14, 15, 16, 17, 18, 19, 20}); err != nil {
		return err
	}
	a := w.agents[0]
	restart := func(n int, born time.Time) error {
		w.runners[0].crash()
		time.Sleep(downtime)
		r, err := startRunner(w.record, runnerName(n), pool, w.runners[0].rack, w.address(a.machine, appPort), w.address(a.machine, controlPort), born.Add(downtime))
		if err == nil {
			w.runners[0] = r
		}
		return err
	}
	if err := restart(100, time.Now()); err != nil {
		return err
	}
	time.Sleep(uptime)
	if trouble {
		if err := restart(101, time.Now().Add(-step)); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	only := smallStep
	only.Requires = w.runners[0].rack
	return w.checkStarted(repeated(jobBody(500*time.Millisecond, 0, only), 3), 20*time.Second)
}

// manifestInTakeover kills the leading gate and changes the manifest while the next leader takes
// over: the queue is run by another service from then on. It does so again, with another pause
// before the change, as long as the change reaches the plan.
func manifestInTakeover(w *world, trouble bool) error {
	const (
		jobCount   = 500
		submitters = 8

		// interval is the time between two jobs: 1.8 times the rate of the large deployment.
		interval = time.Second / 10
	)
	if err := w.prepare([]int{1, 2}, []int{11, 12}); err != nil {
		return err
	}
	if err := w.startAgents(13); err != nil {
		return err
	}
	a := w.agents[2]
	if _, err := startRunner(w.record, runnerName(2), secondPool, "r1-9", w.address(a.machine, appPort), w.address(a.machine, controlPort), time.Now()); err != nil {
		return err
	}
	wide := smallStep
	wide.Count = 38
	accepted := w.submitMany(jobCount, submitters, interval, jobBody(10*time.Millisecond, 0, wide))
	rows, size := w.store.count("job")
	w.record.add("%d of %d jobs accepted; the store has %d jobs of %d bytes", accepted, jobCount, rows, size)
	time.Sleep(idleTime)
	version, current, other := 7, pool, secondPool
	for _, pause := range []time.Duration{2 * time.Millisecond, 5 * time.Millisecond} {
		version, current, other = version+1, other, current
		change := func() error { return w.putManifest(version, current) }
		var err error
		if trouble {
			err = w.changeInTakeover(pause, change)
		} else {
			err = change()
		}
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		if wrong, err := w.runElsewhere(current); err != nil || wrong {
			return cmp.Or(err, errBroken)
		}
	}
	return nil
}

// changeInTakeover kills the leading gate and carries out a change of the operator's the pause after
// the store has answered the last read of the new leader. The gate starts again 3.5 s later.
func (w *world) changeInTakeover(pause time.Duration, change func() error) error {
	const outage = 3500 * time.Millisecond
	leader := w.leader()
	if leader == nil {
		return errors.New("no gate holds the lease")
	}
	w.record.add("%s leads", leader.node)
	var (
		mu   sync.Mutex
		read = make(map[string]bool)
		done = make(chan error, 1)
	)
	w.store.mu.Lock()
	w.store.scanned = func(table string) {
		mu.Lock()
		defer mu.Unlock()
		if read["job"] && read["record"] {
			return
		}
		read[table] = true
		if read["job"] && read["record"] {
			time.AfterFunc(pause, func() { done <- change() })
		}
	}
	w.store.mu.Unlock()
	w.removeGate(leader)
	time.Sleep(outage)
	if err := w.start(leader, []*process{leader}); err != nil {
		return err
	}
	w.mu.Lock()
	w.gates = append(w.gates, leader)
	w.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-time.After(settleTime):
		return errors.New("no new leader")
	}
}

// runElsewhere hands jobs in and reports whether one was run by another service than the wanted one.
func (w *world) runElsewhere(want string) (bool, error) {
	elsewhere := 0
	for range 5 {
		job := w.newJob()
		if !w.submit(job, jobBody(100*time.Millisecond, 0, smallStep)) || !w.awaitStart(job, settleTime) {
			return false, errors.New("a job was not accepted, or has not started")
		}
		if start, _ := w.record.firstStart(job); start.pool != want {
			elsewhere++
		}
		time.Sleep(time.Second)
	}
	w.record.add("%d of 5 jobs sent 10 s after the change and later were run by the old service", elsewhere)
	return elsewhere > 0, nil
}

// submitMany hands in jobs from several clients at a time and returns how many were accepted.
func (w *world) submitMany(count, clients int, interval time.Duration, body []byte) int {
	jobs := make(chan string)
	go func() {
		for range count {
			jobs <- w.newJob()
			time.Sleep(interval)
		}
		close(jobs)
	}()
	var (
		accepted atomic.Int64
		running  sync.WaitGroup
	)
	for range clients {
		running.Go(func() {
			for job := range jobs {
				if w.submit(job, body) {
					accepted.Add(1)
				}
			}
		})
	}
	running.Wait()
	return int(accepted.Load())
}

// logs copies the logs of the processes to a folder, for a look at them.
func (w *world) logs(folder string) error {
	files, err := filepath.Glob(filepath.Join(w.folder, "*.log"))
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, filepath.Base(file)), data, 0o600); err != nil {
			return fmt.Errorf("log not copied: %w", err)
		}
	}
	return nil
}
