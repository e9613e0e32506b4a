package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

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
	ctx, cancel := context.WithTimeout(context.Background(), jr.Timeout)
	defer cancel()
	return (&jobhttp.Client{Addrs: jr.Jobs}).Do(ctx, method, path, body)
}

// jobRefFlags are the flags that name a job.
type jobRefFlags struct {
	Queue string `long:"queue" required:"true" description:"Name of the queue"`
	ID    string `long:"id" description:"The job's id"`
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
	if _, _, err := js.request(http.MethodPost, "/v1/jobs", sub); err != nil {
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
		ans, _, err := js.request(http.MethodGet, js.path(), nil)
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
	ans, _, err := js.request(http.MethodGet, js.path(), nil)
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
	ans, _, err := jc.request(http.MethodDelete, jc.path(), nil)
	if err == nil {
		fmt.Println(ans.Phase)
	}
	return err
}

type catalogPut struct {
	jobFlags
	File string `long:"file" required:"true" description:"JSON file with version, queues and pools"`
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
