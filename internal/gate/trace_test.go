package gate_test

import (
	"flag"
	"fmt"
	"strings"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

var tracedJob = flag.String("job", "", "job whose steps are printed")

// traceJob prints the events (marked <-) and effects (marked ->) that mention the
// job of the flag -job, with the virtual time and the process, and as ERR the
// failed store operations on its rows. Without the flag it does nothing.
func traceJob(r *lab.Region) {
	if *tracedJob == "" {
		return
	}
	r.AddCheck(func(step lab.Step) error {
		printMatch := func(label string, value any) {
			text := fmt.Sprintf("%T%+v", value, value)
			if c, ok := value.(machine.Commit); ok {
				text = "COMMIT"
				for _, w := range c.Txn.Writes {
					text += fmt.Sprintf(" %s del=%v %s", w.Key, w.Delete, w.Value)
				}
				if len(text) > 900 {
					text = text[:900]
				}
			}
			if strings.Contains(text, *tracedJob) {
				fmt.Printf("%v %s/%d %s %s\n", r.Elapsed(), step.Process.Node(), step.Process.Incarnation(), label, text)
			}
		}
		if stored, ok := step.Event.(machine.StoreResult); ok && stored.Err != nil && len(stored.Rows) > 0 {
			printMatch("ERR", fmt.Sprint(stored.Err, stored.Rows[0].Key))
		}
		printMatch("<-", step.Event)
		for _, e := range step.Effects {
			printMatch("->", e)
		}
		return nil
	})
}

// printPolicyState prints the leader's overview of the region and its
// explanation of the job of the flag -job. Without the flag it does nothing.
func printPolicyState(r *lab.Region) {
	if *tracedJob == "" || r.Leader() == nil {
		return
	}
	r.AddCheck(func(step lab.Step) error {
		for _, e := range step.Effects {
			if inspected, ok := e.(gate.Inspected); ok {
				fmt.Printf("%+v\n", inspected)
			}
		}
		return nil
	})
	r.Leader().Post(gate.Inspect{Request: 1})
	r.Leader().Post(gate.Inspect{Request: 2, Job: job.ID(*tracedJob)})
	_ = r.Run(2e9)
}
