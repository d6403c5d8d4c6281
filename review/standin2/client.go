package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// clientTries is how often a client sends a request: once, and four retries.
	clientTries = 5
	retryPause  = 300 * time.Millisecond

	// noAnswer stands for the status of a request without an answer.
	noAnswer = 0
)

// step is a step of a job.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu,omitempty"`
	Memory   int    `json:"mem_mb,omitempty"`
	GPU      int    `json:"gpu,omitempty"`
	Estimate int64  `json:"est_duration_ms,omitempty"`
	Affinity string `json:"affinity,omitempty"`
	Requires string `json:"requires,omitempty"`
}

// newJob returns the id of a new job.
func (w *world) newJob() string {
	w.nextJob++
	return fmt.Sprintf("%016x", w.nextJob)
}

// send sends a request to a gate and returns the status and the body of its answer.
func (w *world) send(gate *process, method, job string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+w.address(gate.machine, frontPort)+prefix+job, bytes.NewReader(body))
	if err != nil {
		return noAnswer, nil
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Lovageroad-Deadline-Ms", strconv.FormatInt(clientWait.Milliseconds(), 10))
	response, err := w.client.Do(request)
	if err != nil {
		w.record.add("%s %s to %s: no answer", method, job, gate.node)
		return noAnswer, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		w.record.add("%s %s to %s: answer broken off", method, job, gate.node)
		return noAnswer, nil
	}
	w.record.add("%s %s to %s: %d %s", method, job, gate.node, response.StatusCode, data)
	return response.StatusCode, data
}

// jobBody returns the body of a job of one step. Its work items run for the given time, and
// its spec has the given length.
func jobBody(duration time.Duration, specBytes int, s step) []byte {
	spec := fmt.Appendf(nil, "%d ", duration.Milliseconds())
	for len(spec) < specBytes {
		spec = append(spec, 'x')
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "steps": []step{s}})
	if err != nil {
		return nil
	}
	return body
}

// submit hands a job in, at the next gate after each try that failed. It returns false if no
// try was accepted.
func (w *world) submit(job string, body []byte) bool {
	for try := range clientTries {
		gates := w.liveGates()
		if len(gates) > 0 {
			if status, _ := w.send(gates[(w.nextJob+uint64(try))%uint64(len(gates))], http.MethodPost, job, body); status/100 == 2 {
				return true
			}
		}
		time.Sleep(retryPause)
	}
	return false
}

// awaitState asks for the state of a job until it is the wanted one or the time is over.
func (w *world) awaitState(job, want string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(retryPause) {
		for _, g := range w.liveGates() {
			status, data := w.send(g, http.MethodGet, job, nil)
			var answer struct {
				State string `json:"state"`
			}
			if status == http.StatusOK && json.Unmarshal(data, &answer) == nil && answer.State == want {
				return true
			}
		}
	}
	return false
}

// awaitStart waits until a work item of a job has started or the time is over.
func (w *world) awaitStart(job string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(retryPause / 10) {
		if _, ok := w.record.firstStart(job); ok {
			return true
		}
	}
	return false
}
