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
	only := flag.String("only", "", "placement, admission or routing; empty is all")
	flag.Parse()
	if *only == "" || *only == "admission" {
		fmt.Println("Admission: half an hour, five minutes of it at three times the capacity")
		experiments.Admission(os.Stdout)
	}
	if *only == "" || *only == "routing" {
		fmt.Println("\nRouting: nine nodes, nine groups, one four times slower, reports half a second late")
		experiments.Routing(os.Stdout)
	}
	if *only == "" || *only == "placement" {
		fmt.Println("\nPlacement: a week of one data centre, mean of the seeds")
		experiments.Placement(os.Stdout)
	}
}
