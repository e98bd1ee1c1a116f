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
		Use:     "capacity",
		Short:   "Work out from measured slopes what each role takes at the target's size",
		Long:    "Work out what each role of a region takes at the target's size, from the slopes that come with the\nprogram, and print it as a page of Markdown.",
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
	cmd.Flags().StringVar(&file, "write", "", "write the page into a `FILE`")
	return cmd
}
