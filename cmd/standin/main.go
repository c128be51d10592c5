// Command standin emulates the platform, backend servers, the network links between daemons
// and callers, for demos and tests.
package main

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/alecthomas/kong"
)

type commands struct {
	Platform platformCommand `cmd:"" help:"Run the log service and the VM list."`
	Backend  backendCommand  `cmd:"" help:"Run a backend server."`
	Links    linksCommand    `cmd:"" help:"Run the links between daemons, which can be cut one way."`
	Load     loadCommand     `cmd:"" help:"Send requests as callers do and print what became of them."`
	Store    storeCommand    `cmd:"" help:"Run the metadata store of a platform, with instances."`
	Ask      askCommand      `cmd:"" help:"Send requests as callers of the platform do and print the statuses."`
	Set      setCommand      `cmd:"" help:"Set faults of a running stand-in."`
	Get      getCommand      `cmd:"" help:"Print the answer to a GET."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for what surrounds the daemons."))
	ctx.FatalIfErrorf(ctx.Run())
}

// maxControlBody is the number of bytes read of a request body; the rest is ignored.
const maxControlBody = 1 << 20

// readJSON decodes the body of a control request into v. If the body is not valid JSON or has unknown fields,
// it responds with 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxControlBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
