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

// Platform is the platform integration of the operators' commands.
type Platform struct {
	// Decoder decodes the platform's deployment records.
	Decoder cluster.DeploymentDecoder
	// NewStore returns a client of the record store at host:port.
	NewStore func(address string) port.RecordStore
}

// client runs statements directly against the record store, without contacting any node.
type client struct {
	store    port.RecordStore
	decoder  cluster.DeploymentDecoder
	executor *configuration.Executor
	operator string
	wait     time.Duration
}

// newClient returns a client of the record store at the address given by the flags.
func (p Platform) newClient(c *cli.Command) (*client, error) {
	address := c.String("store")
	if address == "" {
		return nil, command.Fail(command.ExitUsage, fmt.Errorf("no record store: set --store HOST:PORT or DOORSTEP_STORE"))
	}
	store := p.NewStore(address)
	return &client{
		store: store, decoder: p.Decoder, executor: &configuration.Executor{Store: store, Now: time.Now},
		operator: c.String("operator"), wait: time.Duration(c.Int("wait")) * time.Second,
	}, nil
}

func newToken() string {
	var random [12]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// run executes one statement.
func (c *client) run(ctx context.Context, s statement.Statement, token string, ifRevision uint64) (port.OperatorReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	if s.Query != nil {
		return c.query(ctx, s.Query)
	}
	if s.Command.Kind == port.ShowStatus {
		token = s.Command.Token
	}
	if token == "" {
		token = newToken()
	}
	return c.executor.Submit(ctx, port.OperatorCall{
		Operator: c.operator, Token: token, IfRevision: ifRevision, Text: s.Text, Command: s.Command, Explain: s.Explain,
	}), nil
}

func (c *client) query(ctx context.Context, q *port.Query) (port.OperatorReply, error) {
	if err := query.Check(q); err != nil {
		return port.OperatorReply{}, command.Fail(command.ExitUsage, err)
	}
	startedAt := time.Now()
	reader := &queryReader{client: c, ctx: ctx}
	rows := reader.rows(q.Subject)
	if reader.err != nil {
		return port.OperatorReply{}, command.Fail(command.ExitFailed, reader.err)
	}
	columns, matching := query.Run(q, rows)
	return port.OperatorReply{
		Status: port.Answered, Columns: columns, Rows: matching, Revision: reader.revision, AgeMilliseconds: time.Since(startedAt).Milliseconds(),
	}, nil
}
