#ifndef AGATECRANK_BASE_HEX_H
#define AGATECRANK_BASE_HEX_H

#include "Str.h"

/** Hex_Append() - append @length bytes as lower-case hexadecimal digits */
void Hex_Append(GString *out, const uint8_t *bytes, size_t length);

/**
 * Hex_Parse() - parse lower-case hexadecimal digits
 * @length: number of bytes that @text must have
 *
 * Return: 0, or ERR_PARSE; then the content of @bytes is undefined.
 */
int Hex_Parse(Str text, uint8_t *bytes, size_t length);

#endif
