package main

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/admit"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/jobhttp"
)

// TestRefusalIsNoSuccess guards against a client of the product's own API that takes a
// refusal by the limits for an accepted job.
func TestRefusalIsNoSuccess(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	limits := &admit.Listener{
		Process: admit.New(admit.Settings{BodyBytes: 1}), Name: "jobs", Connections: 10, MaxBody: 100, Outcome: refusalOutcome,
	}
	lis = limits.Attach(server, lis)
	go func() { _ = server.Serve(lis) }()
	defer server.Close()
	cl := &jobhttp.Client{Addrs: []string{lis.Addr().String()}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _, err = cl.Do(ctx, http.MethodPost, "/v1/jobs", "a")
	require.True(t, errkind.Is(err, jobhttp.KindUnreachable), "budget: %v", err)
	_, _, err = cl.Do(context.Background(), http.MethodPost, "/v1/jobs", string(make([]byte, 200)))
	require.True(t, errkind.Is(err, jobhttp.KindRefused), "size: %v", err)
}
