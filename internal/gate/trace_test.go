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

var traced = flag.String("job", "", "job whose steps are printed")

// trace prints the steps that concern a job.
func trace(r *lab.Region) {
	if *traced == "" {
		return
	}
	r.Watch(func(t lab.Trace) error {
		show := func(what string, x any) {
			text := fmt.Sprintf("%T%+v", x, x)
			if c, ok := x.(machine.Commit); ok {
				text = "COMMIT"
				for _, w := range c.Txn.Writes {
					text += fmt.Sprintf(" %s del=%v %s", w.Key, w.Delete, w.Value)
				}
				if len(text) > 900 {
					text = text[:900]
				}
			}
			if strings.Contains(text, *traced) {
				fmt.Printf("%v %s/%d %s %s\n", r.Elapsed(), t.Process.Node(), t.Process.Life(), what, text)
			}
		}
		if st, ok := t.Event.(machine.Stored); ok && st.Err != nil && len(st.Rows) > 0 {
			show("ERR", fmt.Sprint(st.Err, st.Rows[0].Key))
		}
		show("<-", t.Event)
		for _, e := range t.Effects {
			show("->", e)
		}
		return nil
	})
}

// explain prints what the leader's policy holds.
func explain(r *lab.Region) {
	if *traced == "" || r.Leader() == nil {
		return
	}
	r.Watch(func(t lab.Trace) error {
		for _, e := range t.Effects {
			if i, ok := e.(gate.Inspected); ok {
				fmt.Printf("%+v\n", i)
			}
		}
		return nil
	})
	r.Leader().Post(gate.Inspect{Request: 1})
	r.Leader().Post(gate.Inspect{Request: 2, Job: job.ID(*traced)})
	_ = r.Run(2e9)
}
