package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/explain"
	"github.com/harriernotch/harriernotch/internal/failure"
)

func newExplainCommand() *cobra.Command {
	var request string
	command := &cobra.Command{
		Use:   "explain --request ID [LOG ...]",
		Short: "Reconstruct a request from the gateways' logs and name the likely cause of its outcome",
		Long: "Reads the JSON log lines of any number of gateways from the named files, or from standard input, " +
			"orders them despite differences between the gateways' clocks, and prints what happened to the request.",
		RunE: func(cmd *cobra.Command, files []string) error {
			if request == "" {
				return failure.New(failure.InvalidRequest, "--request is missing; name the request's ID as the caller sent it")
			}
			return explainRequest(cmd.OutOrStdout(), cmd.InOrStdin(), request, files)
		},
	}
	command.Flags().StringVar(&request, "request", "", "the request's ID")
	return command
}

func explainRequest(output io.Writer, input io.Reader, request string, files []string) error {
	log, err := readLogs(input, files)
	if err != nil {
		return err
	}
	if len(log.Lines) == 0 {
		return failure.New(failure.InvalidRequest, fmt.Sprintf("no log line of a gateway was found, and %d other lines were skipped; name the files with the JSON logs of all gateways", log.Skipped))
	}
	offsets := log.Align()
	return log.Explain(request).Print(output, offsets)
}

func readLogs(input io.Reader, files []string) (*explain.Log, error) {
	var log explain.Log
	if len(files) == 0 {
		return &log, log.Read(input)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, failure.Wrap(failure.InvalidRequest, err, "can't open a log file")
		}
		err = log.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, failure.Wrap(failure.InvalidRequest, err, name)
		}
	}
	return &log, nil
}
