package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/jacinthproxy/jacinthproxy/internal/publisher"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

type keyCommand struct {
	Create   keyCreateCommand   `cmd:"" help:"Create a key, publish its hash and print the key, which is kept nowhere."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Withdraw a key."`
}

// keyBytes is the length of a key in bytes, before hex encoding.
const keyBytes = 32

type keyFlags struct {
	logFlags
	Team    string `required:"" help:"Team of the client account."`
	Account string `required:"" help:"Client account that the key belongs to."`
	Name    string `required:"" help:"Name of the key."`
}

type keyCreateCommand struct{ keyFlags }

func (c keyCreateCommand) Run() error {
	var b [keyBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return errors.Wrap(err, "generate key")
	}
	key := hex.EncodeToString(b[:])
	err := c.patch(func(doc *merger.Document) ([]operation, error) {
		a := doc.ClientAccounts[c.Account]
		if _, ok := a.Keys[c.Name]; ok {
			return nil, errors.Newf("client account %q already has a key %q", c.Account, c.Name)
		}
		var ops []operation
		if a.Keys == nil {
			ops = append(ops, operation{"add", c.path(""), map[string]string{}})
		}
		return append(ops, operation{"add", c.path("/" + c.Name), merger.HashKey(key)}), nil
	})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(map[string]string{"key": key})
	}
	fmt.Println(key)
	return nil
}

type keyWithdrawCommand struct{ keyFlags }

func (c keyWithdrawCommand) Run() error {
	return c.patch(func(doc *merger.Document) ([]operation, error) {
		if _, ok := doc.ClientAccounts[c.Account].Keys[c.Name]; !ok {
			return nil, errors.Newf("client account %q has no key %q", c.Account, c.Name)
		}
		return []operation{{Op: "remove", Path: c.path("/" + c.Name)}}, nil
	})
}

// path returns the JSON pointer to the account's keys, followed by rest.
func (f keyFlags) path(rest string) string { return "/clientAccounts/" + f.Account + "/keys" + rest }

// operation is one operation of a JSON Patch. Patching a document preserves its comments.
type operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// patch reads the team's subtree, applies the operations that build returns for it and publishes the result.
func (f keyFlags) patch(build func(*merger.Document) ([]operation, error)) error {
	conf, err := f.load()
	if err != nil {
		return err
	}
	s, ok := conf.Tree.Team(f.Team)
	if !ok {
		return errors.Newf("team %q does not exist", f.Team)
	}
	if _, ok := s.Document.ClientAccounts[f.Account]; !ok {
		return errors.Newf("team %q has no client account %q", f.Team, f.Account)
	}
	ops, err := build(s.Document)
	if err != nil {
		return err
	}
	text, err := applyPatch(s.Text, ops)
	if err != nil {
		return err
	}
	o, err := f.send(publisher.Change{Team: f.Team, Base: s.Version, Document: text})
	if o != nil {
		// Standard output carries only the key.
		fmt.Fprintln(os.Stderr, o)
	}
	return err
}

// applyPatch applies a JSON Patch to a document, JSON with comments.
func applyPatch(text string, ops []operation) (string, error) {
	v, err := hujson.Parse([]byte(text))
	if err != nil {
		return "", errors.Wrap(err, "parse document")
	}
	p, err := json.Marshal(ops)
	if err != nil {
		return "", errors.Wrap(err, "encode patch")
	}
	if err := v.Patch(p); err != nil {
		return "", errors.Wrap(err, "apply patch")
	}
	return string(v.Pack()), nil
}
