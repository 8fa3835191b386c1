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

// addresses assigns loopback addresses to the fakes and the controllers, at fixed offsets from a first port.
type addresses struct{ firstPort int }

func (a addresses) atOffset(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", a.firstPort+offset)
}

func (a addresses) stateAddr() string                { return a.atOffset(0) }
func (a addresses) cloudAddr() string                { return a.atOffset(1) }
func (a addresses) clientAddr(controller int) string { return a.atOffset(10 + controller) }
func (a addresses) peerAddr(controller int) string   { return a.atOffset(20 + controller) }

func nodeName(controller int) string { return fmt.Sprintf("controller-%d", controller) }

// writeSettings writes a settings file for each controller into a directory, which it creates if needed.
func writeSettings(directory string, addrs addresses) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for i := range controllerCount {
		encoded, err := json.MarshalIndent(controllerSettings(i, addrs), "", "  ")
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

// controllerSettings returns the settings of one controller.
func controllerSettings(controller int, addrs addresses) config.Settings {
	settings := config.Settings{
		NodeName:     nodeName(controller),
		Zone:         zone,
		ClientListen: addrs.clientAddr(controller),
		PeerBind:     addrs.peerAddr(controller),
		External:     config.External{Cloud: addrs.cloudAddr(), State: addrs.stateAddr()},
		Deployment:   demoDeployment(),
	}
	for other := range controllerCount {
		if other != controller {
			member := config.Member{NodeName: nodeName(other), Zone: zone, Address: addrs.peerAddr(other)}
			settings.Members = append(settings.Members, member)
		}
	}
	return settings
}

// demoDeployment returns the settings that all controllers share, for a small deployment that supports
// gangs.
func demoDeployment() config.Deployment {
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
