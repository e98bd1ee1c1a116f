package main

import (
	"bytes"
	"os"

	"github.com/spf13/cobra"

	"coralhub/internal/capacity"
)

func capacityCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Extrapolate the resource usage of each role to the target size from measured slopes",
		Long: "Extrapolate what each role of a region uses at the target size, from the measured slopes that are\n" +
			"built into the program, and print it as a Markdown page.",
		Example: "  coralhub capacity\n  coralhub capacity --write docs/CAPACITY.md",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return capacity.Write(cmd.OutOrStdout())
			}
			var page bytes.Buffer
			if err := capacity.Write(&page); err != nil {
				return err
			}
			return os.WriteFile(file, page.Bytes(), 0o644)
		},
	}
	cmd.Flags().StringVar(&file, "write", "", "write the page to `FILE` instead of standard output")
	return cmd
}
