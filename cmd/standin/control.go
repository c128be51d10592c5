package main

import (
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

type setCommand struct {
	URL  string `arg:"" help:"What to set, such as http://127.0.0.1:9000/faults."`
	JSON string `arg:"" help:"The value."`
}

func (c setCommand) Run() error {
	req, err := http.NewRequest(http.MethodPut, c.URL, strings.NewReader(c.JSON))
	if err != nil {
		return err
	}
	return sendAndPrint(req)
}

type getCommand struct {
	URL string `arg:"" help:"What to get."`
}

func (c getCommand) Run() error {
	req, err := http.NewRequest(http.MethodGet, c.URL, nil)
	if err != nil {
		return err
	}
	return sendAndPrint(req)
}

func sendAndPrint(req *http.Request) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(os.Stdout, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Newf("%s", resp.Status)
	}
	return err
}
