// Command generator compiles a protobuf file and writes its Go code beside it, without protoc.
//
//	generator FILE.proto
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "generator:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: generator FILE.proto")
	}
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}, SourceInfoMode: protocompile.SourceInfoStandard}
	files, err := c.Compile(context.Background(), args[0])
	if err != nil {
		return errors.Wrap(err, "compile")
	}
	res, err := generate(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: args, Parameter: proto.String("paths=source_relative"),
		ProtoFile: []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	})
	if err != nil {
		return err
	}
	for _, f := range res.GetFile() {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o600); err != nil {
			return errors.Wrap(err, "write generated code")
		}
	}
	return nil
}

// generate runs protoc-gen-go, which the module declares as a tool.
func generate(req *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	path, err := exec.Command("go", "tool", "-n", "protoc-gen-go").Output()
	if err != nil {
		return nil, errors.Wrap(err, "find protoc-gen-go")
	}
	in, err := proto.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	c := exec.Command(strings.TrimSpace(string(path))) //nolint:gosec // The path is that of a tool of this module.
	c.Stdin, c.Stderr = bytes.NewReader(in), os.Stderr
	out, err := c.Output()
	if err != nil {
		return nil, errors.Wrap(err, "run protoc-gen-go")
	}
	var res pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &res); err != nil {
		return nil, errors.Wrap(err, "decode response")
	}
	if res.Error != nil {
		return nil, errors.New(res.GetError())
	}
	return &res, nil
}
