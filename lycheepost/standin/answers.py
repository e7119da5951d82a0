"""Generates the answers of the stand-in engine, deterministically from the prompt.

Each word is derived from a hash of all text before it, prompt and answer together,
as a model's next token depends on everything before it. A client that knows a prompt
can therefore compute the expected answer and check that the received one is
complete, in order and its own. An engine that gets a prompt with the first words of
its answer continues with the words that follow, for chats
(``continue_final_message``) as for plain completions.

The customer's ``cache_salt`` and the weights version are not part of the hash:
callers know neither, and an answer must not depend on where it was cached. Load
tools write the customer's name into the prompts to distinguish customers.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import xxhash

DEFAULT_ANSWER_TOKENS = 32
"""Length of a chat answer if the request sets no limit."""
DEFAULT_COMPLETION_TOKENS = 16
"""Length of a text completion if the request sets no limit, as in the public API."""
CHARACTERS_PER_TOKEN = 4
"""Approximate size of a prompt token; the stand-in has no tokenizer."""

_SYLLABLES = (
    "ba",
    "ce",
    "di",
    "fo",
    "gu",
    "ha",
    "je",
    "ki",
    "lo",
    "mu",
    "na",
    "pe",
    "ri",
    "so",
    "tu",
    "va",
)
_SYLLABLES_PER_WORD = 3


def content_text(content: Any) -> str:
    """Return the text of a message's content, given as text or as parts."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ""
    return "".join(str(part.get("text", "")) for part in content)


def chat_prompt_text(
    messages: Iterable[Mapping[str, Any]], is_continued: bool = False
) -> str:
    """Return the text from which a chat's answer is computed.

    Args:
        messages: The ``messages`` of the request body.
        is_continued: Whether the last message is the start of the answer.
    """
    lines = [
        f"{message.get('role', '')}: {content_text(message.get('content'))}"
        for message in messages
    ]
    if is_continued:
        return "\n".join(lines)
    return "\n".join([*lines, "assistant: "])


def completion_prompt_text(prompt: Any) -> str:
    """Return the text from which a completion's answer is computed."""
    if isinstance(prompt, list):
        return "".join(str(part) for part in prompt)
    return str(prompt)


def count_prompt_tokens(prompt_text: str) -> int:
    """Return the approximate number of tokens of a prompt, at least one."""
    return len(prompt_text) // CHARACTERS_PER_TOKEN + 1


class AnswerText:
    """Generates the tokens that follow a text, one at a time."""

    def __init__(self, prompt_text: str) -> None:
        self._hash = xxhash.xxh3_64(prompt_text.encode())

    def next_token(self) -> str:
        """Return the next token: a space and a word."""
        value = self._hash.intdigest()
        word = ""
        for _ in range(_SYLLABLES_PER_WORD):
            word += _SYLLABLES[value % len(_SYLLABLES)]
            value //= len(_SYLLABLES)
        token = f" {word}"
        self._hash.update(token.encode())
        return token


def expected_words(prompt_text: str, n_tokens: int) -> list[str]:
    """Return the first ``n_tokens`` words of the answer to a prompt.

    Args:
        prompt_text: Result of ``chat_prompt_text`` or ``completion_prompt_text``
            for the request.
        n_tokens: Length of the answer in tokens, which are one word each.
    """
    answer = AnswerText(prompt_text)
    return [answer.next_token().strip() for _ in range(n_tokens)]
