package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/invariant"
	"greengageweir/internal/common/logging"
	"greengageweir/internal/common/settings"

	"github.com/go-kit/log"
)

// commonFlags are the flags that entry instances and control processes share.
type commonFlags struct {
	ID             string `long:"id" env:"WEIR_ID" description:"Name of this process, unique in the fleet"`
	Zone           string `long:"zone" env:"WEIR_ZONE" description:"Availability zone of this process"`
	PeerAddr       string `long:"peer-addr" env:"WEIR_PEER_ADDR" description:"IP:port for connections from other processes"`
	OpsAddr        string `long:"ops-addr" env:"WEIR_OPS_ADDR" description:"IP:port for operators: state, metrics, health"`
	PeerTokenFile  string `long:"peer-token-file" env:"WEIR_PEER_TOKEN_FILE" description:"File with the token that processes share"`
	OperatorTokens string `long:"operator-tokens" env:"WEIR_OPERATOR_TOKENS" description:"File with one operator and token a line"`
	LogLevel       string `long:"log-level" env:"WEIR_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	limitFlags
}

func (cf *commonFlags) check(ck *settings.Checks) {
	ck.Name("--id", cf.ID)
	ck.Name("--zone", cf.Zone)
	ck.Address("--peer-addr", cf.PeerAddr)
	ck.Address("--ops-addr", cf.OpsAddr)
	ck.File("--peer-token-file", cf.PeerTokenFile)
	ck.File("--operator-tokens", cf.OperatorTokens)
	cf.limitFlags.check(ck)
}

// dependencies holds the logger and the credentials that a daemon is built with.
type dependencies struct {
	logger    log.Logger
	level     *logging.Level
	token     string
	operators *auth.Operators
	limits    *admit.Process
}

// setup creates the logger and loads the credentials.
func (cf *commonFlags) setup(role string) (dependencies, error) {
	lg, lvl, err := logging.New(os.Stderr, cf.LogLevel, role, cf.ID)
	if err != nil {
		return dependencies{}, err
	}
	invariant.SetLogger(lg)
	token, err := auth.LoadToken(cf.PeerTokenFile)
	if err != nil {
		return dependencies{}, err
	}
	opers, err := auth.Load(cf.OperatorTokens)
	return dependencies{logger: lg, level: lvl, token: token, operators: opers, limits: cf.process(lg)}, err
}

// signalContext returns a context that the first SIGINT or SIGTERM cancels. The
// second exits the process at once; interrupted describes, for the log, what that
// breaks off.
func signalContext(lg log.Logger, interrupted func() string) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		_ = lg.Log("level", "info", "msg", "stopping")
		cancel()
		<-signals
		_ = lg.Log("level", "warn", "msg", "second signal, exiting at once", "cut", interrupted())
		os.Exit(1)
	}()
	return ctx
}

// splitList splits values at commas and spaces, because an environment variable
// holds a whole list.
func splitList(list []string) []string {
	var out []string
	for _, item := range list {
		out = append(out, strings.FieldsFunc(item, func(r rune) bool { return r == ',' || r == ' ' })...)
	}
	return out
}

const (
	minDrainNotice = 0 * time.Second
	maxDrainNotice = time.Minute
)
