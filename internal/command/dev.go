package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/lovageroad/lovageroad"
	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/mtls"
	"github.com/lovageroad/lovageroad/internal/operator"
	"github.com/lovageroad/lovageroad/internal/settings"
)

// Settings of the region that the command dev runs. devNotice is short, as no load
// balancer takes part.
const (
	devRegion        = "dev"
	devAccount       = "depot"
	devToken         = "dev-token"
	devGates         = 2
	devAgents        = 4
	devPort          = 7100
	devDrain         = 5 * time.Second
	devNotice        = 10 * time.Millisecond
	devRetryInterval = 100 * time.Millisecond

	devOperator      = "dev"
	devOperatorToken = "dev-operator"
)

// newDevCommand returns the command that runs a whole region in one process, for
// trying it out and for tests.
func newDevCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a fake platform, two gates and four agents with fake runners in one process on loopback",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "port", Value: devPort, Usage: "first of the `port`s that are used"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDev(ctx, c)
		},
	}
}

// runDev starts the fake platform, the gates and the agents with fake runners on
// consecutive ports, creates an account, prints how to use the region, and runs
// until the context ends.
func runDev(ctx context.Context, c *cli.Command) error {
	port := c.Int("port")
	nextAddress := func() settings.Address {
		address := settings.Address(fmt.Sprintf("127.0.0.1:%d", port))
		port++
		return address
	}
	group, ctx := errgroup.WithContext(ctx)
	listenAddresses := []settings.Address{nextAddress(), nextAddress()}
	peerAddresses := []settings.Address{nextAddress(), nextAddress()}
	platformAddress := nextAddress()
	platformURL := settings.URL("http://" + string(platformAddress))
	group.Go(func() error {
		return lovageroad.NewPlatform(lovageroad.PlatformSettings{Listen: platformAddress}).Run(ctx)
	})
	gateCredentials, agentCredentials, err := devCredentials()
	if err != nil {
		return err
	}
	for i := range devGates {
		values := lovageroad.GateSettings{
			Listen: listenAddresses[i], Peer: peerAddresses[i], Region: devRegion, Platform: platformURL,
			Gates: peerAddresses, Drain: devDrain, BalancerNotice: devNotice, DataCentre: "dc-1",
			Operators: settings.Operators{{Name: devOperator, Hash: account.HashToken(devOperatorToken)}},
		}
		group.Go(func() error { return lovageroad.NewGate(values, gateCredentials).Run(ctx) })
	}
	for i := range devAgents {
		runnerAddress, peerAddress := nextAddress(), nextAddress()
		values := lovageroad.AgentSettings{
			Peer: peerAddress, Region: devRegion, DataCentre: "dc-1",
			Rack:         floor.RackID(fmt.Sprintf("rack-%d", i/2+1)),
			Worker:       floor.WorkerID(fmt.Sprintf("worker-%d", i+1)),
			Accelerators: 8, Cores: 32, Memory: 64 << 10, Slots: 8,
			Gates: peerAddresses, Upstream: settings.URL("http://" + string(runnerAddress)), Platform: platformURL, Drain: devDrain,
		}
		group.Go(func() error { return lovageroad.NewRunner(lovageroad.RunnerSettings{Listen: runnerAddress}).Run(ctx) })
		group.Go(func() error { return lovageroad.NewAgent(values, agentCredentials).Run(ctx) })
	}
	if err := createDevAccount(ctx, "http://"+string(listenAddresses[0])); err != nil {
		return errors.Join(err, group.Wait())
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "gates      http://%s http://%s\n", listenAddresses[0], listenAddresses[1])
	fmt.Fprintf(out, "platform   %s (fake)\n", platformURL)
	fmt.Fprintf(out, "workers    %d with 8 accelerators each, in 2 racks\n", devAgents)
	fmt.Fprintf(out, "try        go run ./cmd/lovageroad job submit --gate http://%s --account %s --token %s --workers 2 --accelerators 4 --adjacency rack --idempotent --input 'sleep 1s' --wait 30\n",
		listenAddresses[0], devAccount, devToken)
	fmt.Fprintf(out, "operate    go run ./cmd/lovageroad account get --gate http://%s --token %s %s\n", listenAddresses[0], devOperatorToken, devAccount)
	return group.Wait()
}

// createDevAccount creates an account with one guarantee through the operators'
// API. It retries until the gate accepts the change, which needs enough workers for
// the guarantee. All attempts have the same change identifier, which makes them
// idempotent.
func createDevAccount(ctx context.Context, gate string) error {
	o := operatorClient{gate: gate, token: devOperatorToken}
	s := account.Subject{Kind: account.KindAccount, Name: devAccount}
	body := operator.Definition{
		Overrides: &account.Overrides{Guarantees: &[]account.Guarantee{{
			Shape: floor.Shape{Workers: 2, Accelerators: 4, Adjacency: floor.AdjacentRack},
			Count: 1,
		}}},
		Hashes: []account.TokenHash{account.HashToken(devToken)},
	}
	id := account.ChangeID("dev")
	for {
		var created operator.SubjectBody
		err := o.call(ctx, http.MethodPut, subjectPath(s), requestOptions{changeID: id, body: body}, &created)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(devRetryInterval):
		}
	}
}

// devCredentials issues certificates for gates and agents on loopback from a new
// in-memory authority.
func devCredentials() (gates, agents lovageroad.Option, err error) {
	now := time.Now()
	authority, err := mtls.NewAuthority(now)
	if err != nil {
		return nil, nil, err
	}
	loopback := net.IPv4(127, 0, 0, 1)
	gateMaterial, err := authority.Issue(now, mtls.RoleGate, loopback)
	if err != nil {
		return nil, nil, err
	}
	agentMaterial, err := authority.Issue(now, mtls.RoleAgent, loopback)
	if err != nil {
		return nil, nil, err
	}
	return lovageroad.WithCredentials(mtls.StaticSource{Material: gateMaterial}), lovageroad.WithCredentials(mtls.StaticSource{Material: agentMaterial}), nil
}
