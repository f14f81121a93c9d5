package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/dev"
)

// node is a process of the system, started with the command and the template of the deploy file.
type node struct {
	name, zone string
	// frontend, ready and peers are the addresses in its settings.
	frontend, ready, peers string
	settings               string
	log                    string
	process                *exec.Cmd
	exited                 chan struct{}
}

// memoryMB and cores are those of a machine of the small deployment.
const (
	memoryMB = 284
	cores    = 0.4
)

// freeAddress returns an unused address of a loopback IP, with a port that no outgoing connection uses.
func freeAddress(ip string) (string, error) {
	listener, err := dev.Listen(ip)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newNode writes the settings of a node.
func newNode(e *environment, name, zone string, zones []string, storeAddress string, seeds []string) (*node, error) {
	n := &node{name: name, zone: zone, settings: filepath.Join(e.dir, name+".ini"), log: filepath.Join(e.dir, name+".log")}
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress("127.0.0.1"); err != nil {
			return nil, err
		}
	}
	n.frontend, n.ready, n.peers = addresses[0], addresses[1], addresses[2]
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return nil, err
	}
	var regions []string
	for _, z := range zones {
		regions = append(regions, z+":kerala-south")
	}
	text := strings.NewReplacer(
		"{{node_name}}", name,
		"{{zone_name}}", zone,
		"{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(zones, ","),
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(regions, ","),
		"{{is_bootstrap}}", "true",
		"{{bind.frontend}}", n.frontend,
		"{{bind.ready}}", n.ready,
		"{{bind.control_plane}}", n.peers,
		"{{ip_address}}:{{internal_ports.0}}", addresses[3],
		"{{seed_nodes}}", strings.Join(seeds, ","),
		"{{platform.address}}", storeAddress,
		"{{limits.memory_mb}}", strconv.Itoa(memoryMB),
		"{{limits.cpu_quota}}", strconv.FormatFloat(cores, 'f', -1, 64),
		"{{bounds.retry_budget_ratio}}", "0.2",
		"{{bounds.budget_slack}}", "136",
		"{{bounds.retry_window_s}}", "10",
		"{{bounds.grace_period_s}}", "8",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("deploy/entry.ini has a gap that this driver does not fill")
	}
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command("target/ridgehinged", "serve", "-settings", n.settings)
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	process := n.process
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.process.Process.Signal(s) }

// isRunning reports whether the process has not ended.
func (n *node) isRunning() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	if n.process != nil && n.isRunning() {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// residentMB returns the memory of the process and its peak, in MB of 2^20 bytes.
func (n *node) residentMB() (now, peak int) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0, 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kb >> 10
		case "VmHWM:":
			peak = kb >> 10
		}
	}
	return now, peak
}
