package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec" //nolint:depguard // these tests need the memory and descriptors of a process of its own
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The tests in this file guard against clients that terminate or hang a process:
// bodies that stall before their end, bodies over the limit, bodies of very many
// fields, unread responses, slow senders and half-sent headers. They start the
// processes themselves on loopback and check that the process lives, that its peak
// memory and its descriptors stay within its settings, and that an ordinary request is
// answered afterwards. Times and shares of served requests are not checked.
const (
	// testMemoryMB and testDescriptors are the limits in the settings of the
	// processes under test, and the bounds that they are checked against.
	testMemoryMB    = 96
	testDescriptors = 600
	// crowdSize is the number of clients of a pattern. Their bodies of legal size
	// would need 200 MB, their connections 800 descriptors.
	crowdSize = 800
	// crowdAddresses is the number of addresses that the clients come from, so that a
	// limit for each address is not enough.
	crowdAddresses = 16
	// legalBody is the maximum size of a caller's body.
	legalBody = 256 << 10
	// crowdHold is how long clients keep their connections after they have sent all.
	crowdHold = time.Second
	// recoverWithin bounds the wait for the answer to an ordinary request.
	recoverWithin = 30 * time.Second
)

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "weir-client-limits")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "greengageweir")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return program, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if program, err := buildOnce(); err == nil {
		_ = os.RemoveAll(filepath.Dir(program))
	}
	os.Exit(code)
}

// process is a process of the system under test.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	ended  chan struct{}
	maxFDs atomic.Int64
}

func startProcess(t *testing.T, args ...string) *process {
	program, err := buildOnce()
	require.NoError(t, err)
	ps := &process{t: t, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	log, err := os.Create(filepath.Join(t.TempDir(), args[0]+".log"))
	require.NoError(t, err)
	ps.cmd.Stdout, ps.cmd.Stderr = log, log
	require.NoError(t, ps.cmd.Start())
	go func() {
		_ = ps.cmd.Wait()
		close(ps.ended)
	}()
	go ps.watchDescriptors()
	t.Cleanup(func() {
		_ = ps.cmd.Process.Kill()
		<-ps.ended
		_ = log.Close()
	})
	return ps
}

// watchDescriptors records the highest number of open descriptors.
func (ps *process) watchDescriptors() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ps.ended:
			return
		case <-ticker.C:
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", ps.cmd.Process.Pid)); err == nil {
				ps.maxFDs.Store(max(ps.maxFDs.Load(), int64(len(entries))))
			}
		}
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// checkBounds checks that the process lives and that its peak memory and its
// descriptors stay within its settings.
func (ps *process) checkBounds(name string) {
	select {
	case <-ps.ended:
		ps.t.Fatalf("%s: process ended: %v", name, ps.cmd.ProcessState)
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", ps.cmd.Process.Pid))
	require.NoError(ps.t, err)
	match := peakMemory.FindSubmatch(status)
	require.NotNil(ps.t, match)
	peak, err := strconv.Atoi(string(match[1]))
	require.NoError(ps.t, err)
	ps.t.Logf("%s: peak memory %d MB, descriptors %d", name, peak>>10, ps.maxFDs.Load())
	if peak > testMemoryMB<<10 {
		ps.t.Errorf("%s: peak memory %d MB is over %d MB", name, peak>>10, testMemoryMB)
	}
	if fds := ps.maxFDs.Load(); fds > testDescriptors {
		ps.t.Errorf("%s: %d descriptors are open, more than %d", name, fds, testDescriptors)
	}
}

// freePorts returns the first of eight consecutive free ports.
func freePorts(t *testing.T) int {
	for base := 17000 + os.Getpid()%500*8; base < 30000; base += 8 {
		free := true
		for port := base; free && port < base+8; port++ {
			lis, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
			if free = err == nil; free {
				_ = lis.Close()
			}
		}
		if free {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

// system is a control process and an entry instance with the platform's settings, or
// one process of the product's own API, in control and controlAddr.
type system struct {
	t                                              *testing.T
	control, entry                                 *process
	controlAddr, frontAddr, readyAddr, metricsAddr string
	jobs                                           atomic.Int64
	// serves sends ordinary requests and reports whether they are answered.
	serves func() bool
}

const settingsText = `{"node_name":%q,"ip":"127.0.0.1","zone":"z1","bind_addrs":{%s},"port_range":[%d,%d],
"seeds":[%q],"bootstrap":true,"limits":{"memory_mb":%d,"max_fds":%d},"data_dir":%q,"fault_tolerance":{"machines":0},
"bounds":{"status_s":120,"lease_ms":3000,"hold_max_ms":10000}}`

func startSystem(t *testing.T) *system {
	base := freePorts(t)
	addr := func(offset int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(base+offset)) }
	sy := &system{t: t, controlAddr: addr(4), frontAddr: addr(5), readyAddr: addr(6), metricsAddr: addr(3)}
	sy.serves = sy.servesCallers
	write := func(name, binds, dataDir string) string {
		path := filepath.Join(t.TempDir(), name+".json")
		text := fmt.Sprintf(settingsText, name, binds, base, base+3, sy.controlAddr, testMemoryMB, testDescriptors, dataDir)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	sy.control = startProcess(t, "platform-control", "--settings", write("core", fmt.Sprintf(`"control":%q`, sy.controlAddr), t.TempDir()))
	sy.entry = startProcess(t, "platform-entry", "--settings", write("edge", fmt.Sprintf(`"front":%q,"ready":%q`, sy.frontAddr, sy.readyAddr), ""))
	config, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return sy.request(http.MethodPut, sy.controlAddr, "/-/config", string(config)) == http.StatusOK
	}, recoverWithin, 100*time.Millisecond, "configuration accepted")
	sy.requireServes("before")
	return sy
}

// request sends one request on a connection of its own and returns the status, 0 if
// there was no answer.
func (sy *system) request(method, addr, path, body string) int {
	cl := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	require.NoError(sy.t, err)
	req.Host = routeHost
	resp, err := cl.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

const (
	routeHost = "pule25.example"
	routePath = "/puxa400/"
	job       = `{"spec":"a","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":100}]}`
)

// servesCallers reports whether a job is accepted, the control process serves its
// configuration and metrics and the readiness probe are answered.
func (sy *system) servesCallers() bool {
	path := fmt.Sprintf("%s%016x", routePath, sy.jobs.Add(1))
	return sy.request(http.MethodPost, sy.frontAddr, path, job) == http.StatusOK &&
		sy.request(http.MethodGet, sy.controlAddr, "/-/config", "") == http.StatusOK &&
		sy.request(http.MethodGet, sy.metricsAddr, "/metrics", "") == http.StatusOK &&
		sy.request(http.MethodGet, sy.readyAddr, "/-/ready", "") == http.StatusOK
}

func (sy *system) requireServes(name string) {
	require.Eventually(sy.t, sy.serves, recoverWithin, 100*time.Millisecond, "%s: an ordinary request is answered", name)
}

const ownCatalog = `{"version":1,"queues":[{"name":"q","pool":"p","timeoutMillis":3000,"targetMillis":1000,"stretch":2,"maxAttempts":3}],
"pools":[{"name":"p"}]}`

// startJobs starts one process of the product's own API. Its limits are set in the
// environment.
func startJobs(t *testing.T) *system {
	t.Setenv("WEIR_MEMORY_MB", strconv.Itoa(testMemoryMB))
	t.Setenv("WEIR_MAX_DESCRIPTORS", strconv.Itoa(testDescriptors))
	base := freePorts(t)
	peerAddr := net.JoinHostPort("127.0.0.1", strconv.Itoa(base))
	sy := &system{t: t, controlAddr: net.JoinHostPort("127.0.0.1", strconv.Itoa(base+1))}
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("a-token-of-the-test\n"), 0o600))
	sy.control = startProcess(t, "jobs", "--zone", "z1", "--peer-addr", peerAddr, "--listen", sy.controlAddr, "--data-dir", t.TempDir(),
		"--seed", peerAddr, "--first-start", "--tolerance", "0", "--peer-token-file", token)
	require.Eventually(t, func() bool {
		return sy.request(http.MethodPut, sy.controlAddr, "/v1/catalog", ownCatalog) == http.StatusOK
	}, recoverWithin, 100*time.Millisecond, "catalog accepted")
	sy.serves = func() bool {
		body := fmt.Sprintf(`{"queue":"q","id":"%016x","job":{"steps":[{"count":1,"milliCpu":100,"estimateMillis":100}]}}`, sy.jobs.Add(1))
		return sy.request(http.MethodPost, sy.controlAddr, "/v1/jobs", body) == http.StatusOK
	}
	sy.requireServes("before")
	return sy
}

// pattern is what one client sends on its connection. It returns when the client has
// sent all that it sends, or when the connection breaks.
type pattern struct {
	name string
	send func(conn net.Conn, head string, tg target)
}

func writeAll(conn net.Conn, parts ...string) {
	for _, part := range parts {
		if _, err := conn.Write([]byte(part)); err != nil {
			return
		}
	}
}

// text returns the start of a JSON document of the given size in one string.
func text(size int) string { return `{"spec":"` + strings.Repeat("a", size-9) }

// manyFields returns a JSON document of at most size bytes with as many elements in
// the named list as possible.
func manyFields(list string, size int) string {
	return `{"` + list + `":[` + strings.Repeat("{},", (size-len(list)-12)/3) + "{}]" + strings.Repeat("}", 1+strings.Count(list, "{"))
}

var (
	stalledBody   = text(legalBody - 1)
	oversizedBody = text(4 << 20)
)

var patterns = []pattern{
	{"stalled body", func(conn net.Conn, head string, _ target) {
		writeAll(conn, head, fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody), stalledBody)
	}},
	{"stalled body in pieces", func(conn net.Conn, head string, _ target) {
		writeAll(conn, head, fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody))
		for from := 0; from < len(stalledBody); from += 4096 {
			writeAll(conn, stalledBody[from:min(from+4096, len(stalledBody))])
			time.Sleep(2 * time.Millisecond)
		}
	}},
	{"stalled chunked body", func(conn net.Conn, head string, _ target) {
		writeAll(conn, head, "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(stalledBody), stalledBody))
	}},
	{"oversized body", func(conn net.Conn, head string, _ target) {
		writeAll(conn, head, "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n", len(oversizedBody)), oversizedBody)
	}},
	{"many fields", func(conn net.Conn, head string, tg target) {
		body := manyFields(tg.list, legalBody)
		writeAll(conn, head, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body)
	}},
	{"pipelined, unread", func(conn net.Conn, head string, _ target) {
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second)) //nolint:forbidigo // socket deadline
		writeAll(conn, strings.Repeat(head+"Content-Length: 2\r\n\r\n{}", 500))
	}},
	{"slow sender", func(conn net.Conn, head string, _ target) {
		writeAll(conn, head, fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody))
		for range 20 {
			writeAll(conn, "a")
			time.Sleep(50 * time.Millisecond)
		}
	}},
	{"half-sent header", func(conn net.Conn, head string, _ target) {
		writeAll(conn, head, "X-Long: "+strings.Repeat("a", 12<<10))
	}},
}

// runCrowd connects crowdSize clients that follow the pattern, and keeps their
// connections until all have sent and crowdHold has passed.
func runCrowd(addr, head string, tg target, pt pattern) {
	var sending, open sync.WaitGroup
	release := make(chan struct{})
	for no := range crowdSize {
		sending.Add(1)
		open.Add(1)
		go func() {
			defer open.Done()
			dialer := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, byte(1+no%crowdAddresses), 1)}}
			conn, err := dialer.Dial("tcp", addr)
			if err != nil {
				sending.Done()
				return
			}
			defer conn.Close()
			_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second)) //nolint:forbidigo // socket deadline
			pt.send(conn, head, tg)
			sending.Done()
			<-release
		}()
	}
	sending.Wait()
	time.Sleep(crowdHold)
	close(release)
	open.Wait()
}

// target is a path at a listener.
type target struct {
	name         string
	method, path string
	// list is the field of a body that holds objects.
	list   string
	addr   func(sy *system) string
	victim func(sy *system) *process
	start  func(t *testing.T) *system
}

func head(tg target) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", tg.method, tg.path, routeHost)
}

var (
	front   = func(sy *system) string { return sy.frontAddr }
	ready   = func(sy *system) string { return sy.readyAddr }
	control = func(sy *system) string { return sy.controlAddr }
	metric  = func(sy *system) string { return sy.metricsAddr }
	entry   = func(sy *system) *process { return sy.entry }
	core    = func(sy *system) *process { return sy.control }
)

// runPatterns starts a system for each pattern, since peak memory is counted since
// the start of the process.
func runPatterns(t *testing.T, tg target) {
	for _, pt := range patterns {
		t.Run(pt.name, func(t *testing.T) {
			sy := tg.start(t)
			runCrowd(tg.addr(sy), head(tg), tg, pt)
			defer tg.victim(sy).checkBounds(tg.name + ", " + pt.name)
			sy.requireServes(pt.name)
		})
	}
}

func TestClientsAtRoute(t *testing.T) {
	runPatterns(t, target{"route", http.MethodPost, routePath + "00000000000000ff", "steps", front, entry, startSystem})
}

func TestClientsAtUnknownPath(t *testing.T) {
	runPatterns(t, target{"unknown path", http.MethodPost, "/nowhere/at/all", "steps", front, entry, startSystem})
}

func TestClientsAtReadiness(t *testing.T) {
	runPatterns(t, target{"readiness", http.MethodPost, "/-/ready", "steps", ready, entry, startSystem})
}

func TestClientsAtHeartbeats(t *testing.T) {
	runPatterns(t, target{"heartbeats", http.MethodPut, "/-/instances/w1", "labels", control, core, startSystem})
}

func TestClientsAtOperators(t *testing.T) {
	runPatterns(t, target{"operators", http.MethodPut, "/-/config", "routes", control, core, startSystem})
}

func TestClientsAtUnknownControlPath(t *testing.T) {
	runPatterns(t, target{"unknown control path", http.MethodPost, "/nowhere", "routes", control, core, startSystem})
}

func TestClientsAtMetrics(t *testing.T) {
	runPatterns(t, target{"metrics", http.MethodGet, "/metrics", "a", metric, entry, startSystem})
}

func TestClientsAtOwnAPI(t *testing.T) {
	runPatterns(t, target{"own API", http.MethodPost, "/v1/jobs", `job":{"steps`, control, core, startJobs})
}

func TestClientsAtUnknownOwnPath(t *testing.T) {
	runPatterns(t, target{"unknown own path", http.MethodPost, "/nowhere", `job":{"steps`, control, core, startJobs})
}

// TestUnreadConfigurations guards against clients that request a large response many
// times over and read none of it.
func TestUnreadConfigurations(t *testing.T) {
	sy := startSystem(t)
	config, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	large := bytes.Replace(config, []byte(`"version":7`), []byte(`"version":8,"note":"`+strings.Repeat("a", 1<<20)+`"`), 1)
	require.Equal(t, http.StatusOK, sy.request(http.MethodPut, sy.controlAddr, "/-/config", string(large)))
	runCrowd(sy.controlAddr, "GET /-/config HTTP/1.1\r\nHost: a\r\n", target{}, pattern{"unread", func(conn net.Conn, head string, _ target) {
		writeAll(conn, strings.Repeat(head+"\r\n", 20))
		_, _ = bufio.NewReader(conn).Peek(1)
	}})
	defer sy.control.checkBounds("operators, unread configurations")
	sy.requireServes("unread configurations")
}

// jobOf returns the body of a job of steps with one task each. With after set, each
// step comes after all earlier ones.
func jobOf(steps, times int, after bool) string {
	var body strings.Builder
	body.WriteString(`{"spec":"a","steps":[`)
	for ix := range steps {
		before := ""
		if after && ix > 0 {
			for no := range ix {
				before += fmt.Sprintf(",%d", no)
			}
			before = `,"after":[` + before[1:] + "]"
		}
		if ix > 0 {
			body.WriteString(",")
		}
		fmt.Fprintf(&body, `{"count":1,"cpu":1,"estimated_ms":100%s}`, before)
	}
	fmt.Fprintf(&body, `],"repeat_count":%d,"start_at_ms":4000000000000,"interval_ms":1000}`, times)
	return body.String()
}

// TestJobsOfManyTasks guards against jobs of legal size whose state takes each control
// process over its memory, at once or together, also when it starts again.
func TestJobsOfManyTasks(t *testing.T) {
	cases := map[string]struct {
		body string
		jobs int
	}{
		"one of many steps and times": {jobOf(256, 10_000, false), 1},
		"many of some times":          {jobOf(16, 200, false), 200},
		"many of many dependences":    {jobOf(256, 0, true), 450},
		"many of many times":          {jobOf(1, 6000, false), 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sy := startSystem(t)
			accepted := 0
			for no := range tc.jobs {
				if sy.request(http.MethodPost, sy.frontAddr, fmt.Sprintf("%s%016x", routePath, 1<<32+no), tc.body) == http.StatusOK {
					accepted++
				}
			}
			t.Logf("%d of %d jobs accepted", accepted, tc.jobs)
			sy.requireServes(name)
			sy.control.checkBounds(name)
			sy.restartControl()
			sy.requireServes(name + ", restarted")
			sy.control.checkBounds(name + ", restarted")
		})
	}
}

// restartControl kills the control process and starts it again.
func (sy *system) restartControl() {
	args := sy.control.cmd.Args[1:]
	require.NoError(sy.t, sy.control.cmd.Process.Kill())
	<-sy.control.ended
	sy.control = startProcess(sy.t, args...)
}
