package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/caller"
)

// callerFlags returns the flags of commands that send an account's requests to a
// gate.
func callerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "gate", Value: "http://127.0.0.1:7100", Usage: "base `URL` of a gate", Sources: cli.EnvVars("LOVAGEROAD_GATE")},
		&cli.StringFlag{Name: "account", Usage: "client `account`", Required: true, Sources: cli.EnvVars("LOVAGEROAD_ACCOUNT")},
		&cli.StringFlag{Name: "token", Usage: "`token` of the account", Sources: cli.EnvVars("LOVAGEROAD_TOKEN")},
	}
}

func newJobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit jobs and fetch their answers",
		Commands: []*cli.Command{
			newSubmitCommand(),
			newExplainCommand(),
			jobCommand("get", "print the state of a job", http.MethodGet, "", ""),
			jobCommand("wait", "wait for a job and print its answer", http.MethodGet, "/answer", "wait=600"),
			jobCommand("cancel", "cancel a job", http.MethodDelete, "", ""),
		},
	}
}

func newSubmitCommand() *cli.Command {
	flags := append(callerFlags(),
		&cli.StringFlag{Name: "key", Usage: "idempotency `key`; random if absent"},
		&cli.StringFlag{Name: "class", Value: "default", Usage: "`class` of the job"},
		&cli.IntFlag{Name: "workers", Value: 1, Usage: "`number` of workers of the gang"},
		&cli.IntFlag{Name: "accelerators", Value: 1, Usage: "`number` of accelerators on each worker"},
		&cli.IntFlag{Name: "cores", Value: 1, Usage: "`number` of cores on each worker"},
		&cli.IntFlag{Name: "memory", Usage: "memory on each worker in `MiB`"},
		&cli.StringFlag{Name: "adjacency", Usage: "`cell` that must contain all workers of the job: worker, rack, datacentre or region"},
		&cli.BoolFlag{Name: "idempotent", Usage: "the job may be run again"},
		&cli.BoolFlag{Name: "checkpoint", Usage: "the job can be checkpointed"},
		&cli.StringFlag{Name: "expected", Usage: "expected run `time`, such as 90s"},
		&cli.StringFlag{Name: "input", Usage: "`text` of the input, or @FILE"},
		&cli.IntFlag{Name: "wait", Usage: "`seconds` to wait for the answer"},
	)
	return &cli.Command{
		Name:   "submit",
		Usage:  "submit a job and print its state, or its answer",
		Flags:  flags,
		Action: submit,
	}
}

// submit sends a job to the gate and prints the response. Without the flag key it
// uses a random idempotency key.
func submit(ctx context.Context, c *cli.Command) error {
	input := c.String("input")
	if path, ok := strings.CutPrefix(input, "@"); ok {
		data, err := os.ReadFile(path)
		if err != nil {
			return &UsageError{Reason: err.Error()}
		}
		input = string(data)
	}
	body := submitBody{
		Account:    c.String("account"),
		Class:      c.String("class"),
		Idempotent: c.Bool("idempotent"),
		Checkpoint: c.Bool("checkpoint"),
		Expected:   c.String("expected"),
		Input:      input,
		Shape: shapeBody{
			Workers:      c.Int("workers"),
			Accelerators: c.Int("accelerators"),
			Cores:        c.Int("cores"),
			Memory:       c.Int("memory"),
			Adjacency:    c.String("adjacency"),
		},
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	key := c.String("key")
	if key == "" {
		key = rand.Text()
	}
	header := http.Header{caller.IdempotencyKeyHeader: {key}}
	if wait := c.Int("wait"); wait > 0 {
		header.Set("Prefer", fmt.Sprintf("wait=%d", wait))
	}
	return callAsAccount(ctx, c, http.MethodPost, "/v1/jobs", header, data)
}

type (
	// submitBody is the JSON body of a submission.
	submitBody struct {
		Account    string    `json:"account"`
		Class      string    `json:"class"`
		Idempotent bool      `json:"idempotent"`
		Checkpoint bool      `json:"checkpoint,omitempty"`
		Expected   string    `json:"expected,omitempty"`
		Input      string    `json:"input,omitempty"`
		Shape      shapeBody `json:"shape"`
	}

	// shapeBody is the shape in the JSON body of a submission.
	shapeBody struct {
		Workers      int    `json:"workers"`
		Accelerators int    `json:"accelerators"`
		Cores        int    `json:"cores,omitempty"`
		Memory       int    `json:"memory,omitempty"`
		Adjacency    string `json:"adjacency,omitempty"`
	}
)

// jobCommand returns a command that makes one request about a job. suffix is
// appended to the job's path, and prefer is the value of the header Prefer.
func jobCommand(name, usage, method, suffix, prefer string) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "ID",
		Flags:     callerFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" || c.Args().Len() > 1 {
				return &UsageError{Reason: "job " + name + " takes the id of one job"}
			}
			header := http.Header{}
			if prefer != "" {
				header.Set("Prefer", prefer)
			}
			return callAsAccount(ctx, c, method, "/v1/jobs/"+id+suffix, header, nil)
		},
	}
}

// callAsAccount makes an account's request to the gate and prints the response
// body. It returns a CallerError if the gate answers with an error.
func callAsAccount(ctx context.Context, c *cli.Command, method, path string, header http.Header, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, c.String("gate")+path, bytes.NewReader(body))
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+c.String("token"))
	request.Header.Set(caller.AccountHeader, c.String("account"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		var problem caller.Problem
		if err := json.NewDecoder(response.Body).Decode(&problem); err != nil {
			return err
		}
		return &CallerError{Problem: problem}
	}
	if _, err := io.Copy(c.Root().Writer, response.Body); err != nil {
		return err
	}
	return nil
}
