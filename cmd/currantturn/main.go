package main

import (
	"context"
	"os"

	"github.com/currantturn/currantturn/internal/command"
)

func main() {
	os.Exit(command.New(hooks()).Run(context.Background(), os.Args))
}
