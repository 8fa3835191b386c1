package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"quillshunt/internal/config"
)

const (
	controllerCount = 3
	zone            = "a"
)

// addresses are the loopback addresses of all parts, counted from a first port.
type addresses struct{ firstPort int }

func (a addresses) at(offset int) string { return fmt.Sprintf("127.0.0.1:%d", a.firstPort+offset) }

func (a addresses) state() string                 { return a.at(0) }
func (a addresses) cloud() string                 { return a.at(1) }
func (a addresses) clients(controller int) string { return a.at(10 + controller) }
func (a addresses) peers(controller int) string   { return a.at(20 + controller) }

func nodeName(controller int) string { return fmt.Sprintf("controller-%d", controller) }

// writeSettings writes a settings file for each controller.
func writeSettings(directory string, addrs addresses) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for i := range controllerCount {
		encoded, err := json.MarshalIndent(settingsOf(i, addrs), "", "  ")
		if err != nil {
			return err
		}
		path := filepath.Join(directory, nodeName(i)+".json")
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// settingsOf returns the settings of one controller.
func settingsOf(controller int, addrs addresses) config.Settings {
	settings := config.Settings{
		NodeName:     nodeName(controller),
		Zone:         zone,
		ClientListen: addrs.clients(controller),
		PeerBind:     addrs.peers(controller),
		External:     config.External{Cloud: addrs.cloud(), State: addrs.state()},
		Deployment:   deploymentFacts(),
	}
	for other := range controllerCount {
		if other != controller {
			member := config.Member{NodeName: nodeName(other), Zone: zone, Address: addrs.peers(other)}
			settings.Members = append(settings.Members, member)
		}
	}
	return settings
}

// deploymentFacts describe a small deployment with gangs.
func deploymentFacts() config.Deployment {
	gangWaitS, gangPeerS := 40.0, 6.0
	return config.Deployment{
		InitialSize: controllerCount,
		Zones:       []string{zone},
		Teams:       []config.Team{{Name: "demo", GuaranteedCPUs: 16, MaxCPUs: 64}},
		Objectives:  []config.Objective{},
		Workers: config.WorkerTimes{
			HeartbeatIntervalS: 1, LeaseS: 10, CancelWithinS: 30,
			GangWaitTimeoutS: &gangWaitS, GangPeerDetectionS: &gangPeerS,
		},
		State:          config.StateLimits{RPS: 200, WriteRPS: 50, ValueKB: 4, TxnOps: 8},
		Cloud:          config.CloudLimits{RPS: 5, ListLagS: 1},
		MachineLimits:  config.MachineLimits{CoreShare: 0.5, MemoryMB: 128, MaxSockets: 500},
		MaxClockSkewMs: 100,
	}
}
