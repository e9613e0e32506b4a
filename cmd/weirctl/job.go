package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/store"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	weir "greengageweir"
)

// jobFlags are the flags of commands that send requests to the processes that
// accept jobs.
type jobFlags struct {
	Jobs    []string      `long:"jobs" env:"WEIR_JOBS" env-delim:"," required:"true" description:"Address of a process that accepts jobs; repeat for each"`
	Timeout time.Duration `long:"timeout" env:"WEIR_TIMEOUT" default:"20s" description:"Time limit of a request, including retries"`
}

func (jr *jobFlags) request(method, path string, body any) (jobhttp.Response, []byte, error) {
	return jr.requestAs("", method, path, body)
}

// requestAs sends a request with the key of a team, without one if it is empty.
func (jr *jobFlags) requestAs(key auth.Key, method, path string, body any) (jobhttp.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), jr.Timeout)
	defer cancel()
	return (&jobhttp.Client{Addrs: jr.Jobs, Key: key}).Do(ctx, method, path, body)
}

// keyVariable is the environment variable with a team's key.
const keyVariable = "WEIR_KEY"

// keyFlags is the flag with a team's key. No flag takes the key itself, since other
// users can read the command lines of processes.
type keyFlags struct {
	KeyFile string `long:"key-file" env:"WEIR_KEY_FILE" description:"File with the team's key; without it, the key is read from the environment variable WEIR_KEY"`
}

// key returns the team's key, "" if none is given.
func (kf *keyFlags) key() (auth.Key, error) {
	if kf.KeyFile == "" {
		return auth.Key(os.Getenv(keyVariable)), nil
	}
	return auth.LoadKey(kf.KeyFile)
}

// jobRefFlags are the flags that name a job and the team that it belongs to.
type jobRefFlags struct {
	keyFlags
	Queue string `long:"queue" required:"true" description:"Name of the queue"`
	ID    string `long:"id" description:"The job's id"`
}

// call sends a call about jobs to the given processes, with the team's key.
func (jr *jobRefFlags) call(to *jobFlags, method, path string, body any) (jobhttp.Response, error) {
	key, err := jr.key()
	if err != nil {
		return jobhttp.Response{}, err
	}
	ans, _, err := to.requestAs(key, method, path, body)
	return ans, err
}

func (jr *jobRefFlags) path() string {
	return "/v1/jobs?" + url.Values{"queue": {jr.Queue}, "id": {jr.ID}}.Encode()
}

type jobSubmit struct {
	jobFlags
	jobRefFlags
	File string        `long:"file" required:"true" description:"JSON file with the job's text and steps"`
	Wait time.Duration `long:"wait" description:"Wait up to this long until the job has ended"`
}

// Execute implements flags.Commander.
func (js *jobSubmit) Execute([]string) error {
	data, err := os.ReadFile(js.File)
	if err != nil {
		return err
	}
	sub := jobhttp.Submission{Queue: js.Queue, ID: weir.JobID(js.ID)}
	if err := json.Unmarshal(data, &sub.Job); err != nil {
		return errors.Wrap(err, js.File)
	}
	if sub.ID == "" {
		// With an id, sending the job again does not submit it twice.
		sub.ID = weir.JobID(uuid.NewString())
		js.ID = string(sub.ID)
	}
	if _, err := js.call(&js.jobFlags, http.MethodPost, "/v1/jobs", sub); err != nil {
		return err
	}
	fmt.Printf("accepted %s\n", sub.ID)
	if js.Wait == 0 {
		return nil
	}
	return js.waitUntilEnded()
}

func (js *jobSubmit) waitUntilEnded() error {
	begin := time.Now()
	for {
		ans, err := js.call(&js.jobFlags, http.MethodGet, js.path(), nil)
		if err != nil {
			return err
		}
		if ans.Phase.Terminal() {
			fmt.Printf("job %s is %s after %s\n", js.ID, ans.Phase, time.Since(begin).Round(10*time.Millisecond))
			if ans.Phase != store.Done {
				return errors.Errorf("job is %s", ans.Phase)
			}
			return nil
		}
		if time.Since(begin) > js.Wait {
			return errors.Errorf("job %s is %s after %s", js.ID, ans.Phase, js.Wait)
		}
		time.Sleep(waitPollInterval)
	}
}

type jobShow struct {
	jobFlags
	jobRefFlags
}

// Execute implements flags.Commander.
func (js *jobShow) Execute([]string) error {
	ans, err := js.call(&js.jobFlags, http.MethodGet, js.path(), nil)
	if err != nil {
		return err
	}
	if js.ID == "" {
		fmt.Printf("%d jobs of %s have not begun\n", ans.Pending, js.Queue)
		return nil
	}
	fmt.Println(ans.Phase)
	return nil
}

type jobCancel struct {
	jobFlags
	jobRefFlags
}

// Execute implements flags.Commander.
func (jc *jobCancel) Execute([]string) error {
	ans, err := jc.call(&jc.jobFlags, http.MethodDelete, jc.path(), nil)
	if err == nil {
		fmt.Println(ans.Phase)
	}
	return err
}

type catalogPut struct {
	jobFlags
	File string `long:"file" required:"true" description:"JSON file with version, queues, pools and teams"`
}

// Execute implements flags.Commander.
func (cp *catalogPut) Execute([]string) error {
	data, err := os.ReadFile(cp.File)
	if err != nil {
		return err
	}
	ans, _, err := cp.request(http.MethodPut, "/v1/catalog", json.RawMessage(data))
	if err == nil {
		fmt.Println("acknowledged", ans.Reason)
	}
	return err
}

type catalogShow struct{ jobFlags }

// Execute implements flags.Commander.
func (cs *catalogShow) Execute([]string) error {
	_, text, err := cs.request(http.MethodGet, "/v1/catalog", nil)
	if err == nil {
		fmt.Println(string(text))
	}
	return err
}
