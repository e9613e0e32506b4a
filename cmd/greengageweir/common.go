package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"greengageweir/internal/duty/auth"
	"greengageweir/internal/duty/invariant"
	"greengageweir/internal/duty/logging"
	"greengageweir/internal/duty/settings"

	"github.com/go-kit/log"
)

// commonFlags are the flags of all daemons.
type commonFlags struct {
	ID             string `long:"id" env:"WEIR_ID" description:"Name of this process, unique in the system"`
	Zone           string `long:"zone" env:"WEIR_ZONE" description:"Availability zone of this process"`
	PeerAddr       string `long:"peer-addr" env:"WEIR_PEER_ADDR" description:"IP:port for the system's other processes"`
	OpsAddr        string `long:"ops-addr" env:"WEIR_OPS_ADDR" description:"IP:port for operators: state, metrics, health"`
	PeerTokenFile  string `long:"peer-token-file" env:"WEIR_PEER_TOKEN_FILE" description:"File with the token that processes share"`
	OperatorTokens string `long:"operator-tokens" env:"WEIR_OPERATOR_TOKENS" description:"File with lines of operator and token"`
	LogLevel       string `long:"log-level" env:"WEIR_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

func (cf *commonFlags) check(ck *settings.Checks) {
	ck.Name("--id", cf.ID)
	ck.Name("--zone", cf.Zone)
	ck.Address("--peer-addr", cf.PeerAddr)
	ck.Address("--ops-addr", cf.OpsAddr)
	ck.File("--peer-token-file", cf.PeerTokenFile)
	ck.File("--operator-tokens", cf.OperatorTokens)
}

// kit is what every daemon is built from.
type kit struct {
	logger    log.Logger
	level     *logging.Level
	token     string
	operators *auth.Operators
}

func (cf *commonFlags) open(role string) (kit, error) {
	lg, lvl, err := logging.New(os.Stderr, cf.LogLevel, role, cf.ID)
	if err != nil {
		return kit{}, err
	}
	invariant.SetLogger(lg)
	token, err := auth.LoadToken(cf.PeerTokenFile)
	if err != nil {
		return kit{}, err
	}
	opers, err := auth.Load(cf.OperatorTokens)
	return kit{logger: lg, level: lvl, token: token, operators: opers}, err
}

// stopContext ends with the first signal. The second signal ends the process
// at once; cut tells what that interrupts.
func stopContext(lg log.Logger, cut func() string) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		_ = lg.Log("level", "info", "msg", "stopping")
		cancel()
		<-signals
		_ = lg.Log("level", "warn", "msg", "stopped at once", "cut", cut())
		os.Exit(1)
	}()
	return ctx
}

// split reads a list that came as one environment variable.
func split(list []string) []string {
	var out []string
	for _, item := range list {
		out = append(out, strings.FieldsFunc(item, func(r rune) bool { return r == ',' || r == ' ' })...)
	}
	return out
}

const (
	minNotice = 0 * time.Second
	maxNotice = time.Minute
)
