package daemon

import (
	"context"
	"errors"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"currantpulley/internal/fake/fakeengine"
)

// The official OpenAI client library must be able to list models, to stream a
// completion and to read an error answer through the daemon.
func TestOpenAIClientLibrary(t *testing.T) {
	_, a := startEngine(t, "a", nil)
	d := startDaemon(t, testConfig([]string{a}, nil))
	client := openai.NewClient(option.WithBaseURL("http://"+d.Address()+"/v1"), option.WithAPIKey(testKey))
	models, err := client.Models.List(context.Background())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "m" {
		t.Fatalf("models %+v, %v", models, err)
	}
	stream := client.Completions.NewStreaming(context.Background(), openai.CompletionNewParams{
		Model:     "m",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(contractPrompt)},
		MaxTokens: openai.Int(contractOutput),
	})
	var text string
	for stream.Next() {
		if c := stream.Current(); len(c.Choices) > 0 {
			text += c.Choices[0].Text
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if err := fakeengine.Verify([]byte(contractPrompt), contractOutput, text); err != nil {
		t.Fatal(err)
	}
	_, err = client.Completions.New(context.Background(), openai.CompletionNewParams{
		Model: "absent", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("x")}})
	var apiErr *openai.Error
	if !errors.As(err, &apiErr) || apiErr.StatusCode != 404 || apiErr.Code != "model_not_found" {
		t.Fatalf("error %v", err)
	}
}
