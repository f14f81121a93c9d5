// Command experiments prints the tables of docs/BENCHMARKS.md that measure
// single decisions on seeded traces.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/ridgehinge/ridgehinge/lab/experiments"
)

func main() {
	only := flag.String("only", "", "placement; empty is all")
	flag.Parse()
	if *only == "" || *only == "placement" {
		fmt.Println("Placement: a week of one data centre, mean of the seeds")
		experiments.Placement(os.Stdout)
	}
}
