package event

//go:generate go run ./gendoc ../../docs/EVENTS.md
