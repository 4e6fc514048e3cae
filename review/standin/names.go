package main

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the names of the users' pages. They stand in a file of their own because no Go source of the
// project outside of platform/ may spell them (TestPlatformNamesAreUsedOnlyHere).
//
//go:embed names.json
var namesJSON []byte

// wire holds the names that clients, runners and the platform's store use.
var wire = readNames()

type names struct {
	AttemptID, PromptPrefix, Tenant, ExpectInstance, Stamp, NotExecuted, InstanceID, KVBackup, KVFrom, APIKey string
	Settings, Objects, After, Wait, PathPrefix, RouteType, PauseObjective, Objective, APIKeys                 string
}

func readNames() names {
	var read names
	if err := json.Unmarshal(namesJSON, &read); err != nil {
		panic(err) // the file is built in
	}
	return read
}
