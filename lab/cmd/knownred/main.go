// Command knownred checks the list of known failures for CI.
//
//	knownred           print the entries and, as the last line, the pattern of the tests to skip
//	knownred -report   read the output of "go test -json" of the listed tests and print how they ended
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/ridgehinge/ridgehinge/lab/knownred"
)

const listFile = "KNOWN-RED.txt"

func main() {
	report := flag.Bool("report", false, "report the results of the listed tests, which are read from the standard input")
	flag.Parse()
	if err := run(*report); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", listFile, err)
		os.Exit(1)
	}
}

func run(report bool) error {
	text, err := os.ReadFile(listFile)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	entries, err := knownred.Parse(string(text))
	if err != nil {
		return err
	}
	if report {
		results, err := knownred.Results(os.Stdin)
		if err != nil {
			return err
		}
		return knownred.Report(os.Stdout, entries, results)
	}
	if err := knownred.Check(".", entries); err != nil {
		return err
	}
	for _, e := range entries {
		fmt.Println(e)
	}
	fmt.Println(knownred.Pattern(entries))
	return nil
}
