package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/cluster"
	"github.com/doorstep/doorstep/internal/request/query"
	"github.com/doorstep/doorstep/internal/request/statement"
	"github.com/doorstep/doorstep/internal/version/configuration"
)

// Platform is what a deployment's platform provides to operators.
type Platform struct {
	// Decoder reads what the platform keeps of the deployment.
	Decoder cluster.DeploymentDecoder
	// NewStore returns a client of the record store at host:port.
	NewStore func(address string) port.RecordStore
}

// client runs statements against the record store: no node need be asked.
type client struct {
	store     port.RecordStore
	decoder   cluster.DeploymentDecoder
	commander *configuration.Executor
	operator  string
	wait      time.Duration
}

// newClient returns a client of the store that the flags name.
func (p Platform) newClient(c *cli.Command) (*client, error) {
	address := c.String("store")
	if address == "" {
		return nil, command.Fail(command.ExitUsage, fmt.Errorf("--store HOST:PORT or DOORSTEP_STORE names the record store"))
	}
	store := p.NewStore(address)
	return &client{
		store: store, decoder: p.Decoder, commander: &configuration.Executor{Store: store, Now: time.Now},
		operator: c.String("operator"), wait: time.Duration(c.Int("wait")) * time.Second,
	}, nil
}

func newToken() string {
	var random [12]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// run carries one statement out.
func (c *client) run(ctx context.Context, one statement.Statement, token string, ifRevision uint64) (port.OperatorReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	if one.Query != nil {
		return c.query(ctx, one.Query)
	}
	if one.Command.Kind == port.ShowStatus {
		token = one.Command.Token
	}
	if token == "" {
		token = newToken()
	}
	return c.commander.Submit(ctx, port.OperatorCall{
		Operator: c.operator, Token: token, IfRevision: ifRevision, Text: one.Text, Command: one.Command, Explain: one.Explain,
	}), nil
}

func (c *client) query(ctx context.Context, q *port.Query) (port.OperatorReply, error) {
	if err := query.Check(q); err != nil {
		return port.OperatorReply{}, command.Fail(command.ExitUsage, err)
	}
	startedAt := time.Now()
	g := &gathering{client: c, ctx: ctx}
	rows := g.rows(q.Subject)
	if g.err != nil {
		return port.OperatorReply{}, command.Fail(command.ExitFailed, g.err)
	}
	columns, found := query.Run(q, rows)
	return port.OperatorReply{
		Status: port.Answered, Columns: columns, Rows: found, Revision: g.revision, AgeMilliseconds: time.Since(startedAt).Milliseconds(),
	}, nil
}
