// Command experiments prints tables that compare the admission, routing and
// placement policies with baselines in seeded simulations.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/ridgehinge/ridgehinge/lab/experiments"
)

func main() {
	only := flag.String("only", "", "run only placement, admission or routing")
	plots := flag.String("plots", "", "directory to write SVG plots to")
	flag.Parse()
	if *only == "" || *only == "admission" {
		fmt.Println("Admission: an hour, five minutes of it at three times the capacity")
		experiments.Admission(os.Stdout)
	}
	if *only == "" || *only == "routing" {
		fmt.Println("\nRouting: nine nodes, nine groups, one four times slower, reports half a second late")
		experiments.Routing(os.Stdout)
	}
	if *only == "" || *only == "placement" {
		fmt.Println("\nPlacement: a week of one data centre, mean of the seeds")
		results := experiments.Placement(os.Stdout)
		if *plots == "" {
			return
		}
		if err := experiments.PlotPlacement(*plots, results); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
